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

// Bounds of what a client asks for.
const (
	// maxEvents is how many events a request brings at most, maxTries how often it is sent.
	maxEvents = 40
	maxTries  = 6
	// deadline is how long a client waits for an answer.
	deadline = 8 * time.Second
)

// manner is how a client reads an answer.
type manner uint8

const (
	usual manner = iota
	// slow sleeps between reads, leaving closes the connection after some events, old speaks HTTP/1.0.
	slow
	leaving
	old
	manners
)

// Client sends streams to the fronts in turn and goes on where an answer breaks off, until it has all events of a request.
type Client struct {
	name   string
	fronts []string
	rng    *rand.Rand
	tries  int
}

// NewClient makes the n-th client of a rehearsal.
func NewClient(n int, seed uint64, fronts []string) *Client {
	return &Client{name: fmt.Sprintf("c%d", n), fronts: fronts, rng: rand.New(rand.NewPCG(seed, uint64(n)))}
}

// Ask sends one request until it is whole or the tries are spent, and has each answer taken.
func (c *Client) Ask(number int, take func(ledger.StreamAnswer)) {
	path := []string{resumablePath, oncePath, plainPath}[c.rng.IntN(3)]
	request, total, after := c.name+"-"+strconv.Itoa(number), 1+c.rng.IntN(maxEvents), 0
	for range maxTries {
		a := ledger.StreamAnswer{AtMs: time.Now().UnixMilli(), Node: c.fronts[c.rng.IntN(len(c.fronts))], Request: request, After: after, Total: total, Resumable: path == resumablePath}
		how := manner(c.rng.IntN(int(manners)))
		answered := c.try(&a, path, how)
		if answered {
			take(a)
		}
		if a.Complete || how == leaving || (answered && path == oncePath) {
			return
		}
		if n := len(a.Events); n > 0 && a.Resumable {
			after, _ = strconv.Atoi(a.Events[n-1].ID)
		}
		time.Sleep(time.Duration(c.rng.IntN(50)) * time.Millisecond)
	}
}

// try sends a request once on a connection of its own; false where there was no stream.
func (c *Client) try(a *ledger.StreamAnswer, path string, how manner) bool {
	conn, err := net.DialTimeout("tcp", a.Node, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	c.tries++
	if _, err = io.WriteString(conn, c.head(a, path, how)); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil || resp.StatusCode != http.StatusOK {
		return false
	}
	c.read(a, how, resp.Body)
	return true
}

func (c *Client) head(a *ledger.StreamAnswer, path string, how manner) string {
	protocol := "HTTP/1.1"
	if how == old {
		protocol = "HTTP/1.0"
	}
	head := fmt.Sprintf("POST %s%s %s\r\nHost: %s\r\nContent-Length: 2\r\n", path, c.name, protocol, host)
	for _, field := range [][2]string{
		{platform.HeaderAttemptID, fmt.Sprintf("%s-%d", c.name, c.tries)}, {headerRequest, a.Request}, {platform.HeaderModel, "m"},
		{platform.HeaderTokenUsage, fmt.Sprintf("100,%d", a.Total)}, {platform.HeaderPromptPrefix, "5c1e07a2:60,91bd3f06:40"},
		{platform.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10)},
	} {
		head += field[0] + ": " + field[1] + "\r\n"
	}
	if a.After > 0 {
		head += fmt.Sprintf("%s: %d\r\n", platform.HeaderLastEventID, a.After)
	}
	return head + "\r\n{}"
}

// read takes the events of an answer until it ends, or until the client leaves.
func (c *Client) read(a *ledger.StreamAnswer, how manner, body io.Reader) {
	in := bufio.NewReader(body)
	stay := c.rng.IntN(maxEvents)
	var event ledger.StreamEvent
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			a.Complete, a.Torn = err == io.EOF, line != "" || event != ledger.StreamEvent{}
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
			if how == leaving && len(a.Events) > stay {
				return
			}
		}
		if how == slow {
			time.Sleep(time.Duration(c.rng.IntN(3)) * time.Millisecond)
		}
	}
}
