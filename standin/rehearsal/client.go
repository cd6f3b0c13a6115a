package rehearsal

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mallowbridge/mallowbridge/ledger"
	"github.com/mallowbridge/mallowbridge/platform"
)

const (
	// maxEvents is the largest number of events of a response, maxAttempts the number of attempts of a request.
	maxEvents   = 40
	maxAttempts = 6
	// requestTimeout bounds the time from the start of an attempt until the end of its response.
	requestTimeout = 8 * time.Second
)

// clientBehavior is the way in which a client makes a request and reads the response.
type clientBehavior uint8

const (
	normalBehavior clientBehavior = iota
	// slowReader sleeps between reads, earlyDisconnect closes the connection after some events, http10 speaks HTTP/1.0.
	slowReader
	earlyDisconnect
	http10
	behaviorCount
)

// Client sends requests for streams to random frontends. If a response breaks off, it makes another attempt, and resumes after the last event where
// the route allows that.
type Client struct {
	name      string
	frontends []string
	rng       *rand.Rand
	attempts  int
}

// NewClient returns the n-th client of a rehearsal.
func NewClient(n int, seed uint64, frontends []string) *Client {
	return &Client{name: fmt.Sprintf("c%d", n), frontends: frontends, rng: rand.New(rand.NewPCG(seed, uint64(n)))}
}

// Fetch sends a request and calls record with each response. It makes further attempts until a response is complete, the client has disconnected
// early, a request that may run only once has got a response, or the attempts are used up.
func (c *Client) Fetch(number int, record func(ledger.StreamResponse)) {
	path := []string{resumablePath, oncePath, plainPath}[c.rng.IntN(3)]
	request, total, after := c.name+"-"+strconv.Itoa(number), 1+c.rng.IntN(maxEvents), 0
	for range maxAttempts {
		a := ledger.StreamResponse{AtMs: time.Now().UnixMilli(), Node: c.frontends[c.rng.IntN(len(c.frontends))], Request: request, After: after, Total: total, Resumable: path == resumablePath}
		behavior := clientBehavior(c.rng.IntN(int(behaviorCount)))
		responded := c.attempt(&a, path, behavior)
		if responded {
			record(a)
		}
		if a.Complete || behavior == earlyDisconnect || (responded && path == oncePath) {
			return
		}
		if n := len(a.Events); n > 0 && a.Resumable {
			after, _ = strconv.Atoi(a.Events[n-1].ID)
		}
		time.Sleep(time.Duration(c.rng.IntN(50)) * time.Millisecond)
	}
}

// attempt sends a request once, on a new connection. It returns false if there was no response with status 200.
func (c *Client) attempt(a *ledger.StreamResponse, path string, behavior clientBehavior) bool {
	conn, err := net.DialTimeout("tcp", a.Node, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(requestTimeout))
	c.attempts++
	if _, err = io.WriteString(conn, c.requestHead(a, path, behavior)); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil || resp.StatusCode != http.StatusOK {
		return false
	}
	c.readStream(a, behavior, resp.Body)
	return true
}

// requestHead returns the request line, the headers and the body of a request.
func (c *Client) requestHead(a *ledger.StreamResponse, path string, behavior clientBehavior) string {
	protocol := "HTTP/1.1"
	if behavior == http10 {
		protocol = "HTTP/1.0"
	}
	head := fmt.Sprintf("POST %s%s %s\r\nHost: %s\r\nContent-Length: 2\r\n", path, c.name, protocol, hostname)
	for _, field := range [][2]string{
		{platform.HeaderAttemptID, fmt.Sprintf("%s-%d", c.name, c.attempts)}, {headerRequest, a.Request}, {platform.HeaderModel, "m"},
		{platform.HeaderTokenUsage, fmt.Sprintf("100,%d", a.Total)}, {platform.HeaderPromptPrefix, "5c1e07a2:60,91bd3f06:40"},
		{platform.HeaderDeadline, strconv.FormatInt(requestTimeout.Milliseconds(), 10)},
	} {
		head += field[0] + ": " + field[1] + "\r\n"
	}
	if a.After > 0 {
		head += fmt.Sprintf("%s: %d\r\n", platform.HeaderLastEventID, a.After)
	}
	return head + "\r\n{}"
}

// readStream reads the events of a response until it ends or the client disconnects early.
func (c *Client) readStream(a *ledger.StreamResponse, behavior clientBehavior, body io.Reader) {
	in := bufio.NewReader(body)
	eventLimit := c.rng.IntN(maxEvents)
	var event ledger.StreamEvent
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			a.Complete, a.HasPartialEvent = err == io.EOF, line != "" || event != ledger.StreamEvent{}
			return
		}
		name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), ": ")
		switch name {
		case "id":
			event.ID = value
		case "data":
			event.Text += value
		case "":
			a.Events, event = append(a.Events, event), ledger.StreamEvent{}
			if behavior == earlyDisconnect && len(a.Events) > eventLimit {
				return
			}
		}
		if behavior == slowReader {
			time.Sleep(time.Duration(c.rng.IntN(3)) * time.Millisecond)
		}
	}
}
