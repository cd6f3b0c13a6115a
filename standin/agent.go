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

// outcomeLost is what a client notes of a request that it heard nothing of.
const outcomeLost = "lost"

// Agent is a client of the product's own interface that sends generated requests to nodes in turn.
type Agent struct {
	// Nodes are the nodes' HTTP addresses, host:port.
	Nodes  []string
	Client *http.Client
}

// NewAgent gives a client that keeps connections to the nodes.
func NewAgent(nodes []string) *Agent {
	return &Agent{Nodes: nodes, Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

// Once sends one request to one node and gives the line of the client's ledger for it. Failures are outcomes.
func (a *Agent) Once(ctx context.Context, node string, k workload.Request) ledger.Got {
	g := ledger.Got{AtMs: time.Now().UnixMilli(), Node: node, Request: k.ID, Kind: k.Class.Name, Repeatable: k.Class.Repeatable, Outcome: outcomeLost}
	body := `{"prompt":"` + strings.Repeat("tail", max(k.TailTokens-3, 1)) + `"}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+"/v1/offers/"+k.Class.Service+"/"+k.Class.Name, strings.NewReader(body))
	if err != nil {
		return g
	}
	req.GetBody = nil
	req.Header.Set("X-Request-Id", k.ID)
	req.Header.Set("X-Prompt-Prefix", k.Prefix)
	began := time.Now()
	resp, err := a.Client.Do(req)
	if err != nil {
		return g
	}
	defer resp.Body.Close()
	if front := resp.Header.Get("X-Node"); front != "" {
		g.Node = front
	}
	if resp.StatusCode != http.StatusOK {
		g.Outcome = resp.Header.Get("X-Outcome")
		if g.Outcome == "" {
			g.Outcome = outcomeLost
		}
		return g
	}
	g.Outcome = "partial"
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var l router.ResponseLine
		if json.Unmarshal(lines.Bytes(), &l) != nil {
			return g
		}
		if l.End {
			g.Outcome = "done"
			continue
		}
		if g.FirstMs == 0 {
			g.FirstMs = max(time.Since(began).Milliseconds(), 1)
		}
		g.Chunks = append(g.Chunks, l.Text)
	}
	if lines.Err() != nil {
		g.Outcome = "partial"
	}
	return g
}

// Run sends n requests at the times that the source gives them, to the nodes in turn, and has took called with each outcome, one at
// a time. When the context ends, the rest is sent at once and fails.
func (a *Agent) Run(ctx context.Context, src *workload.Source, n int, elapsed func(g ledger.Got)) {
	start := time.Now()
	out := make(chan ledger.Got)
	for i := range n {
		ask := src.Next()
		go func() {
			timer := time.NewTimer(time.Until(start.Add(ask.At)))
			defer timer.Stop()
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
			out <- a.Once(ctx, a.Nodes[i%len(a.Nodes)], ask)
		}()
	}
	for range n {
		elapsed(<-out)
	}
}
