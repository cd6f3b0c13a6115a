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

// headerDigest is the header with the digest of the request that the client sent. Nodes forward it like any header that they don't know.
const headerDigest = "X-Rehearsal-Digest"

const (
	// maxBodyBytes bounds the size of a request body; bodies are smaller.
	maxBodyBytes = 8 << 10
	// maxThinkTime bounds the pause of a client between two requests.
	maxThinkTime = 60 * time.Millisecond
)

// requestDigest returns a hash of the method, the target and the body of a request.
func requestDigest(method, target string, body []byte) string {
	h := xxhash.New()
	_, _ = h.WriteString(method + " " + target + "\n")
	_, _ = h.Write(body)
	return strconv.FormatUint(h.Sum64(), 16)
}

// describeAlteration describes a request that a replica received if it differs from what the client sent. It returns an empty string if they are
// equal.
func describeAlteration(q *http.Request, body []byte) string {
	if requestDigest(q.Method, q.RequestURI, body) == q.Header.Get(headerDigest) {
		return ""
	}
	return fmt.Sprintf("%s %s and %d bytes of body, Last-Event-Id %q", q.Method, q.RequestURI, len(body), q.Header.Get(platform.HeaderLastEventID))
}

// soakClient sends requests on a connection that it keeps open.
type soakClient struct {
	keepAliveConn
	name string
	sent int
}

// soakResponse is a response together with the path prefix of its request.
type soakResponse struct {
	ledger.SoakResponse
	path string
}

// run sends requests until the end and calls record with each response.
func (c *soakClient) run(end time.Time, record func(a soakResponse)) {
	defer c.disconnect()
	for time.Now().Before(end) {
		time.Sleep(time.Duration(c.rng.Int64N(int64(maxThinkTime))))
		if c.conn != nil || c.connect() {
			record(c.send())
		}
	}
}

// send sends a request once and reads the response.
func (c *soakClient) send() soakResponse {
	c.sent++
	a := soakResponse{path: soakPaths[c.rng.IntN(len(soakPaths))]}
	a.Attempt = c.name + "-" + strconv.Itoa(c.sent)
	a.Request, a.Node, a.Total, a.AtMs = a.Attempt, c.frontend, 1+c.rng.IntN(maxEvents), time.Now().UnixMilli()
	_ = c.conn.SetDeadline(time.Now().Add(requestTimeout))
	complete := c.exchange(&a)
	a.EndMs = time.Now().UnixMilli()
	a.TimedOut = !complete && a.EndMs-a.AtMs >= requestTimeout.Milliseconds()
	if !complete {
		c.disconnect()
	}
	return a
}

// exchange sends a request with a random body and reads the response into a. It reports whether the response was complete, so that the connection can
// be used again.
func (c *soakClient) exchange(a *soakResponse) bool {
	body := make([]byte, c.rng.IntN(maxBodyBytes))
	for i := range body {
		body[i] = byte(c.rng.Uint32())
	}
	if _, err := c.conn.Write(append([]byte(c.requestHead(a, body)), body...)); err != nil {
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
	reader.readStream(&a.StreamResponse, normalBehavior, resp.Body)
	return a.Complete
}

// requestHead returns the request line and the headers of a request.
func (c *soakClient) requestHead(a *soakResponse, body []byte) string {
	target := a.path + c.name + "?n=" + strconv.Itoa(c.sent)
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", target, hostname, len(body))
	for _, field := range [][2]string{
		{platform.HeaderAttemptID, a.Attempt}, {headerRequest, a.Request}, {headerDigest, requestDigest(http.MethodPost, target, body)},
		{platform.HeaderModel, "m"}, {platform.HeaderTokenUsage, fmt.Sprintf("100,%d", a.Total)},
		{platform.HeaderPromptPrefix, fmt.Sprintf("5c1e07a2:60,%x:40", c.rng.Uint32())}, {platform.HeaderDeadline, strconv.FormatInt(requestTimeout.Milliseconds(), 10)},
	} {
		head += field[0] + ": " + field[1] + "\r\n"
	}
	return head + "\r\n"
}
