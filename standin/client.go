package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/mallowbridge/mallowbridge/ledger"
	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/sim/workload"
)

// outcomeLost is the outcome of a request that got no response, or an error response without an outcome.
const outcomeLost = "lost"

// Client sends generated requests to the nodes in turn, through the product's own interface.
type Client struct {
	// Nodes are the nodes' HTTP addresses, host:port.
	Nodes []string
	HTTP  *http.Client
}

// NewClient returns a client that keeps its connections to the nodes open between requests.
func NewClient(nodes []string) *Client {
	return &Client{Nodes: nodes, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

// Send sends one request to one node and returns its row of the client's ledger. Failures are outcomes, not errors.
func (c *Client) Send(ctx context.Context, node string, r workload.Request) ledger.SendResult {
	got := ledger.SendResult{AtMs: time.Now().UnixMilli(), Node: node, Request: r.ID, Class: r.Class.Name, Idempotent: r.Class.Repeatable, Outcome: outcomeLost}
	// A token counts as 4 bytes, and the JSON around the prompt as 3 tokens.
	body := `{"prompt":"` + strings.Repeat("tail", max(r.TailTokens-3, 1)) + `"}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+"/v1/offers/"+r.Class.Service+"/"+r.Class.Name, strings.NewReader(body))
	if err != nil {
		return got
	}
	// Without GetBody, the HTTP client can't send the request again on a new connection.
	req.GetBody = nil
	req.Header.Set("X-Request-Id", r.ID)
	req.Header.Set("X-Prompt-Prefix", r.Prefix)
	sentAt := time.Now()
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return got
	}
	defer resp.Body.Close()
	if name := resp.Header.Get("X-Node"); name != "" {
		got.Node = name
	}
	if resp.StatusCode != http.StatusOK {
		got.Outcome = resp.Header.Get("X-Outcome")
		if got.Outcome == "" {
			got.Outcome = outcomeLost
		}
		return got
	}
	got.Outcome = "partial"
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var l router.ResponseLine
		if json.Unmarshal(lines.Bytes(), &l) != nil {
			return got
		}
		if l.End {
			got.Outcome = "done"
			continue
		}
		if got.FirstChunkMs == 0 {
			got.FirstChunkMs = max(time.Since(sentAt).Milliseconds(), 1)
		}
		got.Chunks = append(got.Chunks, l.Text)
	}
	if lines.Err() != nil {
		got.Outcome = "partial"
	}
	return got
}

// Run sends n requests from the source to the nodes in turn, each at its own time, and calls record with each ledger row. Calls of record
// don't overlap. When the context ends, the remaining requests are sent at once and fail.
func (c *Client) Run(ctx context.Context, src *workload.Source, n int, record func(got ledger.SendResult)) {
	start := time.Now()
	results := make(chan ledger.SendResult)
	for i := range n {
		r := src.Next()
		go func() {
			timer := time.NewTimer(time.Until(start.Add(r.At)))
			defer timer.Stop()
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
			results <- c.Send(ctx, c.Nodes[i%len(c.Nodes)], r)
		}()
	}
	for range n {
		record(<-results)
	}
}
