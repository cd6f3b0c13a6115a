package tally

import "testing"

func TestCheckerCatchesEachBreach(t *testing.T) {
	ran := func(event, req, id string, n int) Ran { return Ran{Event: event, Request: req, Go: id, Pieces: n} }
	done := func(req string, pieces ...string) Got { return Got{Request: req, Outcome: "done", Pieces: pieces} }
	whole := []Ran{ran("begun", "a", "g1", 0), ran("done", "a", "g1", 2)}
	for _, c := range []struct {
		name string
		ran  []Ran
		got  []Got
		want string
	}{
		{"sound", whole, []Got{done("a", "a|g1|0", "a|g1|1")}, ""},
		{"sound partial", whole[:1], []Got{{Request: "a", Outcome: "partial", Pieces: []string{"a|g1|0"}}}, ""},
		{"denied, then asked again and run", whole, []Got{{Request: "a", Outcome: "denied"}, done("a", "a|g1|0", "a|g1|1")}, ""},
		{"twice", append(whole, ran("begun", "a", "g2", 0)), []Got{done("a", "a|g1|0", "a|g1|1")}, RanTwice},
		{"denied and ran", whole, []Got{{Request: "a", Outcome: "denied"}}, DeniedRan},
		{"mixed", whole, []Got{done("a", "b|g1|0", "a|g1|1")}, Mixed},
		{"spliced", whole, []Got{done("a", "a|g1|0", "a|g2|1")}, Spliced},
		{"lost", whole, []Got{done("a", "a|g1|1")}, Gap},
		{"repeated", whole, []Got{done("a", "a|g1|0", "a|g1|0")}, Gap},
		{"truncated", whole, []Got{done("a", "a|g1|0")}, Truncated},
		{"truncated run", whole[:1], []Got{done("a", "a|g1|0")}, Truncated},
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
