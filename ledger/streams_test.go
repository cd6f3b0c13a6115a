package ledger

import "testing"

func TestStreamCheckerCatchesEachBreach(t *testing.T) {
	event := func(id, text string) StreamEvent { return StreamEvent{ID: id, Text: text} }
	one, two, three := event("1", "a|7|r|1"), event("2", "a|7|r|2"), event("3", "a|7|r|3")
	for _, c := range []struct {
		name   string
		answer StreamAnswer
		want   string
	}{
		{"complete", StreamAnswer{Total: 2, Events: []StreamEvent{one, two}, Complete: true}, ""},
		{"broken off", StreamAnswer{Total: 2, Events: []StreamEvent{one}, Torn: true}, ""},
		{"resumed by the client", StreamAnswer{Total: 3, After: 2, Events: []StreamEvent{three}, Complete: true}, ""},
		{"nothing left", StreamAnswer{Total: 2, After: 2, Complete: true}, ""},
		{"missing", StreamAnswer{Total: 3, Events: []StreamEvent{one, three}}, Gap},
		{"twice", StreamAnswer{Total: 3, Events: []StreamEvent{one, one}}, Gap},
		{"what the client had", StreamAnswer{Total: 3, After: 2, Events: []StreamEvent{one}}, Gap},
		{"another's", StreamAnswer{Total: 3, Events: []StreamEvent{event("1", "b|7|r|1")}}, Mixed},
		{"another event's text", StreamAnswer{Total: 3, Events: []StreamEvent{event("1", "a|7|r|2")}}, Mixed},
		{"joined with bytes of another", StreamAnswer{Total: 3, Events: []StreamEvent{event("1", "a|7|a|7|r|1")}}, Mixed},
		{"weights go back", StreamAnswer{Total: 3, Events: []StreamEvent{one, event("2", "a|6|r|2")}}, Spliced},
		{"two runs", StreamAnswer{Total: 2, Events: []StreamEvent{one, event("2", "a|7|s|2")}, Complete: true}, Spliced},
		{"resumed by a node", StreamAnswer{Total: 2, Events: []StreamEvent{one, event("2", "a|7|s|2")}, Complete: true, Resumable: true}, ""},
		{"too short", StreamAnswer{Total: 3, Events: []StreamEvent{one, two}, Complete: true}, Truncated},
		{"torn", StreamAnswer{Total: 2, Events: []StreamEvent{one, two}, Complete: true, Torn: true}, Truncated},
	} {
		c.answer.Request = "a"
		breaches := CheckStreams([]StreamAnswer{c.answer})
		switch {
		case c.want == "" && len(breaches) > 0:
			t.Errorf("%s: %v", c.name, breaches)
		case c.want != "" && (len(breaches) != 1 || breaches[0].What != c.want):
			t.Errorf("%s: got %v, want %s", c.name, breaches, c.want)
		}
	}
}
