package ledger

import "testing"

func TestCheckerCatchesEachBreach(t *testing.T) {
	ran := func(event, req, id string, n int) RunEvent {
		return RunEvent{Event: event, Request: req, AttemptID: id, Chunks: n}
	}
	done := func(req string, chunks ...string) SendResult {
		return SendResult{Request: req, Outcome: "done", Chunks: chunks}
	}
	at := func(ms int64, r RunEvent) RunEvent { r.AtMs = ms; return r }
	at20 := func(g SendResult, node string) SendResult { g.AtMs, g.Node = 20, node; return g }
	complete := []RunEvent{ran("begun", "a", "g1", 0), ran("done", "a", "g1", 2)}
	for _, c := range []struct {
		name string
		ran  []RunEvent
		got  []SendResult
		want string
	}{
		{"sound", complete, []SendResult{done("a", "a|g1|0", "a|g1|1")}, ""},
		{"sound partial", complete[:1], []SendResult{{Request: "a", Outcome: "partial", Chunks: []string{"a|g1|0"}}}, ""},
		{"denied, then asked again and run", complete, []SendResult{{Request: "a", Outcome: "denied"}, done("a", "a|g1|0", "a|g1|1")}, ""},
		{"twice", append(complete, ran("begun", "a", "g2", 0)), []SendResult{done("a", "a|g1|0", "a|g1|1")}, RanTwice},
		{"denied here, run elsewhere", []RunEvent{at(20, ran("begun", "a", "n2.b.1", 0)), at(30, ran("done", "a", "n2.b.1", 1))},
			[]SendResult{{AtMs: 10, Request: "a", Node: "n1.b", Outcome: "denied"}, at20(done("a", "a|n2.b.1|0"), "n2.b")}, ""},
		{"denied and run here, then run elsewhere too", []RunEvent{at(15, ran("begun", "a", "n1.b.1", 0)), at(20, ran("begun", "a", "n2.b.1", 0)), at(30, ran("done", "a", "n2.b.1", 1))},
			[]SendResult{{AtMs: 10, Request: "a", Idempotent: true, Node: "n1.b", Outcome: "denied"}, at20(done("a", "a|n2.b.1|0"), "n2.b")}, RejectedButRan},
		{"run here, then denied here", []RunEvent{at(5, ran("begun", "a", "n1.b.1", 0))},
			[]SendResult{{AtMs: 1, Request: "a", Node: "n1.b", Outcome: "lost"}, {AtMs: 10, Request: "a", Node: "n1.b", Outcome: "denied"}}, RejectedButRan},
		{"run here by an earlier boot, then denied here", []RunEvent{at(5, ran("begun", "a", "n1.b.1", 0))},
			[]SendResult{{AtMs: 1, Request: "a", Node: "n1.b", Outcome: "lost"}, {AtMs: 10, Request: "a", Node: "n1.c", Outcome: "denied"}}, ""},
		{"may be repeated: run here, then denied here", []RunEvent{at(5, ran("begun", "a", "n1.b.1", 0))},
			[]SendResult{{AtMs: 1, Request: "a", Idempotent: true, Node: "n1.b", Outcome: "lost"}, {AtMs: 10, Request: "a", Idempotent: true, Node: "n1.b", Outcome: "denied"}}, ""},
		{"denied and ran", complete, []SendResult{{Request: "a", Outcome: "denied"}}, RejectedButRan},
		{"an id given twice", append(complete, ran("begun", "b", "g1", 0)), []SendResult{done("a", "a|g1|0", "a|g1|1")}, AttemptIDReused},
		{"mixed", complete, []SendResult{done("a", "b|g1|0", "a|g1|1")}, WrongRequest},
		{"spliced", complete, []SendResult{done("a", "a|g1|0", "a|g2|1")}, Spliced},
		{"lost", complete, []SendResult{done("a", "a|g1|1")}, OutOfSequence},
		{"repeated", complete, []SendResult{done("a", "a|g1|0", "a|g1|0")}, OutOfSequence},
		{"truncated", complete, []SendResult{done("a", "a|g1|0")}, Truncated},
		{"truncated run", complete[:1], []SendResult{done("a", "a|g1|0")}, Truncated},
		{"unrun", nil, []SendResult{done("a", "a|g1|0")}, CompletedWithoutRun},
	} {
		bs := Check(c.ran, c.got)
		switch {
		case c.want == "" && len(bs) > 0:
			t.Errorf("%s: %v", c.name, bs)
		case c.want != "" && (len(bs) != 1 || bs[0].Kind != c.want):
			t.Errorf("%s: got %v, want %s", c.name, bs, c.want)
		}
	}
}
