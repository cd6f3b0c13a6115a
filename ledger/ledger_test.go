package ledger

import "testing"

func TestCheckerCatchesEachBreach(t *testing.T) {
	ran := func(event, req, id string, n int) Ran {
		return Ran{Event: event, Request: req, AttemptID: id, Chunks: n}
	}
	done := func(req string, chunks ...string) Got { return Got{Request: req, Outcome: "done", Chunks: chunks} }
	at := func(ms int64, r Ran) Ran { r.AtMs = ms; return r }
	at20 := func(g Got, node string) Got { g.AtMs, g.Node = 20, node; return g }
	complete := []Ran{ran("begun", "a", "g1", 0), ran("done", "a", "g1", 2)}
	for _, c := range []struct {
		name string
		ran  []Ran
		got  []Got
		want string
	}{
		{"sound", complete, []Got{done("a", "a|g1|0", "a|g1|1")}, ""},
		{"sound partial", complete[:1], []Got{{Request: "a", Outcome: "partial", Chunks: []string{"a|g1|0"}}}, ""},
		{"denied, then asked again and run", complete, []Got{{Request: "a", Outcome: "denied"}, done("a", "a|g1|0", "a|g1|1")}, ""},
		{"twice", append(complete, ran("begun", "a", "g2", 0)), []Got{done("a", "a|g1|0", "a|g1|1")}, RanTwice},
		{"denied here, run elsewhere", []Ran{at(20, ran("begun", "a", "n2.b.1", 0)), at(30, ran("done", "a", "n2.b.1", 1))},
			[]Got{{AtMs: 10, Request: "a", Node: "n1.b", Outcome: "denied"}, at20(done("a", "a|n2.b.1|0"), "n2.b")}, ""},
		{"denied and run here, then run elsewhere too", []Ran{at(15, ran("begun", "a", "n1.b.1", 0)), at(20, ran("begun", "a", "n2.b.1", 0)), at(30, ran("done", "a", "n2.b.1", 1))},
			[]Got{{AtMs: 10, Request: "a", Repeatable: true, Node: "n1.b", Outcome: "denied"}, at20(done("a", "a|n2.b.1|0"), "n2.b")}, DeniedRan},
		{"run here, then denied here", []Ran{at(5, ran("begun", "a", "n1.b.1", 0))},
			[]Got{{AtMs: 1, Request: "a", Node: "n1.b", Outcome: "lost"}, {AtMs: 10, Request: "a", Node: "n1.b", Outcome: "denied"}}, DeniedRan},
		{"run here by an earlier boot, then denied here", []Ran{at(5, ran("begun", "a", "n1.b.1", 0))},
			[]Got{{AtMs: 1, Request: "a", Node: "n1.b", Outcome: "lost"}, {AtMs: 10, Request: "a", Node: "n1.c", Outcome: "denied"}}, ""},
		{"may be repeated: run here, then denied here", []Ran{at(5, ran("begun", "a", "n1.b.1", 0))},
			[]Got{{AtMs: 1, Request: "a", Repeatable: true, Node: "n1.b", Outcome: "lost"}, {AtMs: 10, Request: "a", Repeatable: true, Node: "n1.b", Outcome: "denied"}}, ""},
		{"denied and ran", complete, []Got{{Request: "a", Outcome: "denied"}}, DeniedRan},
		{"an id given twice", append(complete, ran("begun", "b", "g1", 0)), []Got{done("a", "a|g1|0", "a|g1|1")}, Reused},
		{"mixed", complete, []Got{done("a", "b|g1|0", "a|g1|1")}, Mixed},
		{"spliced", complete, []Got{done("a", "a|g1|0", "a|g2|1")}, Spliced},
		{"lost", complete, []Got{done("a", "a|g1|1")}, Gap},
		{"repeated", complete, []Got{done("a", "a|g1|0", "a|g1|0")}, Gap},
		{"truncated", complete, []Got{done("a", "a|g1|0")}, Truncated},
		{"truncated run", complete[:1], []Got{done("a", "a|g1|0")}, Truncated},
		{"unrun", nil, []Got{done("a", "a|g1|0")}, Unrun},
	} {
		bs := Check(c.ran, c.got)
		switch {
		case c.want == "" && len(bs) > 0:
			t.Errorf("%s: %v", c.name, bs)
		case c.want != "" && (len(bs) != 1 || bs[0].What != c.want):
			t.Errorf("%s: got %v, want %s", c.name, bs, c.want)
		}
	}
}
