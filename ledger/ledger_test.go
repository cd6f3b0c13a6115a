package ledger

import "testing"

func TestCheckFindsEachBreach(t *testing.T) {
	event := func(name, req, id string, n int) RunEvent {
		return RunEvent{Event: name, Request: req, AttemptID: id, Chunks: n}
	}
	completed := func(req string, chunks ...string) SendResult {
		return SendResult{Request: req, Outcome: "done", Chunks: chunks}
	}
	atMs := func(ms int64, r RunEvent) RunEvent { r.AtMs = ms; return r }
	sentAt20 := func(g SendResult, node string) SendResult { g.AtMs, g.Node = 20, node; return g }
	complete := []RunEvent{event("begun", "a", "g1", 0), event("done", "a", "g1", 2)}
	for _, c := range []struct {
		name    string
		events  []RunEvent
		results []SendResult
		want    string
	}{
		{"complete", complete, []SendResult{completed("a", "a|g1|0", "a|g1|1")}, ""},
		{"partial response", complete[:1], []SendResult{{Request: "a", Outcome: "partial", Chunks: []string{"a|g1|0"}}}, ""},
		{"rejected, then sent again and run", complete, []SendResult{{Request: "a", Outcome: "denied"}, completed("a", "a|g1|0", "a|g1|1")}, ""},
		{"ran twice", append(complete, event("begun", "a", "g2", 0)), []SendResult{completed("a", "a|g1|0", "a|g1|1")}, RanTwice},
		{"rejected by one node, run by another", []RunEvent{atMs(20, event("begun", "a", "n2.b.1", 0)), atMs(30, event("done", "a", "n2.b.1", 1))},
			[]SendResult{{AtMs: 10, Request: "a", Node: "n1.b", Outcome: "denied"}, sentAt20(completed("a", "a|n2.b.1|0"), "n2.b")}, ""},
		{"rejected but run by one node, then run by another", []RunEvent{atMs(15, event("begun", "a", "n1.b.1", 0)), atMs(20, event("begun", "a", "n2.b.1", 0)), atMs(30, event("done", "a", "n2.b.1", 1))},
			[]SendResult{{AtMs: 10, Request: "a", Idempotent: true, Node: "n1.b", Outcome: "denied"}, sentAt20(completed("a", "a|n2.b.1|0"), "n2.b")}, RejectedButRan},
		{"run by a node, then rejected by it", []RunEvent{atMs(5, event("begun", "a", "n1.b.1", 0))},
			[]SendResult{{AtMs: 1, Request: "a", Node: "n1.b", Outcome: "lost"}, {AtMs: 10, Request: "a", Node: "n1.b", Outcome: "denied"}}, RejectedButRan},
		{"run by an earlier boot of a node, then rejected by the node", []RunEvent{atMs(5, event("begun", "a", "n1.b.1", 0))},
			[]SendResult{{AtMs: 1, Request: "a", Node: "n1.b", Outcome: "lost"}, {AtMs: 10, Request: "a", Node: "n1.c", Outcome: "denied"}}, ""},
		{"idempotent: run by a node, then rejected by it", []RunEvent{atMs(5, event("begun", "a", "n1.b.1", 0))},
			[]SendResult{{AtMs: 1, Request: "a", Idempotent: true, Node: "n1.b", Outcome: "lost"}, {AtMs: 10, Request: "a", Idempotent: true, Node: "n1.b", Outcome: "denied"}}, ""},
		{"rejected but ran", complete, []SendResult{{Request: "a", Outcome: "denied"}}, RejectedButRan},
		{"attempt id used twice", append(complete, event("begun", "b", "g1", 0)), []SendResult{completed("a", "a|g1|0", "a|g1|1")}, AttemptIDReused},
		{"chunk of another request", complete, []SendResult{completed("a", "b|g1|0", "a|g1|1")}, WrongRequest},
		{"chunks of two attempts", complete, []SendResult{completed("a", "a|g1|0", "a|g2|1")}, Spliced},
		{"chunk missing", complete, []SendResult{completed("a", "a|g1|1")}, OutOfSequence},
		{"chunk repeated", complete, []SendResult{completed("a", "a|g1|0", "a|g1|0")}, OutOfSequence},
		{"completed without the last chunk", complete, []SendResult{completed("a", "a|g1|0")}, Truncated},
		{"completed, but the run did not end", complete[:1], []SendResult{completed("a", "a|g1|0")}, Truncated},
		{"completed without a run", nil, []SendResult{completed("a", "a|g1|0")}, CompletedWithoutRun},
	} {
		bs := Check(c.events, c.results)
		switch {
		case c.want == "" && len(bs) > 0:
			t.Errorf("%s: got %v, want no breach", c.name, bs)
		case c.want != "" && (len(bs) != 1 || bs[0].Kind != c.want):
			t.Errorf("%s: got %v, want %s", c.name, bs, c.want)
		}
	}
}
