package rehearsal

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mallowbridge/mallowbridge/ledger"
	"github.com/mallowbridge/mallowbridge/platform"
)

// headerDigest holds the digest of what the client sent; nodes pass it on like any header that they don't know.
const headerDigest = "X-Rehearsal-Digest"

const (
	// maxBody is the largest body of a soak's request, in bytes.
	maxBody = 8 << 10
	// thinkTime bounds the pause of a client between two requests.
	thinkTime = 60 * time.Millisecond
)

// digest is that of a request as it stands on the wire.
func digest(method, target string, body []byte) string {
	h := xxhash.New()
	_, _ = h.WriteString(method + " " + target + "\n")
	_, _ = h.Write(body)
	return strconv.FormatUint(h.Sum64(), 16)
}

// altered says how what a replica got differs from what the client sent; empty where it doesn't.
func altered(q *http.Request, body []byte) string {
	if digest(q.Method, q.RequestURI, body) == q.Header.Get(headerDigest) {
		return ""
	}
	return fmt.Sprintf("%s %s and %d bytes of body, Last-Event-Id %q", q.Method, q.RequestURI, len(body), q.Header.Get(platform.HeaderLastEventID))
}

// soakClient asks on a connection that it keeps.
type soakClient struct {
	keptConnection
	name string
	sent int
}

// soakAnswer is an answer and the path that was asked for.
type soakAnswer struct {
	ledger.SoakAnswer
	path string
}

// run asks until the end and has each answer taken.
func (c *soakClient) run(end time.Time, take func(a soakAnswer)) {
	defer c.disconnect()
	for time.Now().Before(end) {
		time.Sleep(time.Duration(c.rng.Int64N(int64(thinkTime))))
		if c.conn != nil || c.connect() {
			take(c.ask())
		}
	}
}

// ask sends a request once and reads its answer.
func (c *soakClient) ask() soakAnswer {
	c.sent++
	a := soakAnswer{path: soakPaths[c.rng.IntN(len(soakPaths))]}
	a.Attempt = c.name + "-" + strconv.Itoa(c.sent)
	a.Request, a.Node, a.Total, a.AtMs = a.Attempt, c.front, 1+c.rng.IntN(maxEvents), time.Now().UnixMilli()
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	whole := c.exchange(&a)
	a.EndMs = time.Now().UnixMilli()
	a.TimedOut = !whole && a.EndMs-a.AtMs >= deadline.Milliseconds()
	if !whole {
		c.disconnect()
	}
	return a
}

// exchange tells whether the answer came to its end, so that the connection may be used again.
func (c *soakClient) exchange(a *soakAnswer) bool {
	body := make([]byte, c.rng.IntN(maxBody))
	for i := range body {
		body[i] = byte(c.rng.Uint32())
	}
	if _, err := c.conn.Write(append([]byte(c.head(a, body)), body...)); err != nil {
		return false
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: http.MethodPost})
	if err != nil {
		return false
	}
	a.Status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		_, err = io.Copy(io.Discard, resp.Body)
		return err == nil
	}
	reader := Client{rng: c.rng}
	reader.read(&a.StreamAnswer, usual, resp.Body)
	return a.Complete
}

func (c *soakClient) head(a *soakAnswer, body []byte) string {
	target := a.path + c.name + "?n=" + strconv.Itoa(c.sent)
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", target, host, len(body))
	for _, field := range [][2]string{
		{platform.HeaderAttemptID, a.Attempt}, {headerRequest, a.Request}, {headerDigest, digest(http.MethodPost, target, body)},
		{platform.HeaderModel, "m"}, {platform.HeaderTokenUsage, fmt.Sprintf("100,%d", a.Total)},
		{platform.HeaderPromptPrefix, fmt.Sprintf("5c1e07a2:60,%x:40", c.rng.Uint32())}, {platform.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10)},
	} {
		head += field[0] + ": " + field[1] + "\r\n"
	}
	return head + "\r\n"
}
