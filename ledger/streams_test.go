package ledger

import "testing"

func TestStreamCheckerCatchesEachBreach(t *testing.T) {
	event := func(id, text string) StreamEvent { return StreamEvent{ID: id, Text: text} }
	one, two, three := event("1", "a|7|r|1"), event("2", "a|7|r|2"), event("3", "a|7|r|3")
	for _, c := range []struct {
		name   string
		answer StreamResponse
		want   string
	}{
		{"complete", StreamResponse{Total: 2, Events: []StreamEvent{one, two}, Complete: true}, ""},
		{"broken off", StreamResponse{Total: 2, Events: []StreamEvent{one}, HasPartialEvent: true}, ""},
		{"resumed by the client", StreamResponse{Total: 3, After: 2, Events: []StreamEvent{three}, Complete: true}, ""},
		{"nothing left", StreamResponse{Total: 2, After: 2, Complete: true}, ""},
		{"missing", StreamResponse{Total: 3, Events: []StreamEvent{one, three}}, OutOfSequence},
		{"twice", StreamResponse{Total: 3, Events: []StreamEvent{one, one}}, OutOfSequence},
		{"what the client had", StreamResponse{Total: 3, After: 2, Events: []StreamEvent{one}}, OutOfSequence},
		{"another's", StreamResponse{Total: 3, Events: []StreamEvent{event("1", "b|7|r|1")}}, WrongRequest},
		{"another event's text", StreamResponse{Total: 3, Events: []StreamEvent{event("1", "a|7|r|2")}}, WrongRequest},
		{"joined with bytes of another", StreamResponse{Total: 3, Events: []StreamEvent{event("1", "a|7|a|7|r|1")}}, WrongRequest},
		{"weights go back", StreamResponse{Total: 3, Events: []StreamEvent{one, event("2", "a|6|r|2")}}, Spliced},
		{"two runs", StreamResponse{Total: 2, Events: []StreamEvent{one, event("2", "a|7|s|2")}, Complete: true}, Spliced},
		{"resumed by a node", StreamResponse{Total: 2, Events: []StreamEvent{one, event("2", "a|7|s|2")}, Complete: true, Resumable: true}, ""},
		{"too short", StreamResponse{Total: 3, Events: []StreamEvent{one, two}, Complete: true}, Truncated},
		{"torn", StreamResponse{Total: 2, Events: []StreamEvent{one, two}, Complete: true, HasPartialEvent: true}, Truncated},
	} {
		c.answer.Request = "a"
		breaches := CheckStreams([]StreamResponse{c.answer})
		switch {
		case c.want == "" && len(breaches) > 0:
			t.Errorf("%s: %v", c.name, breaches)
		case c.want != "" && (len(breaches) != 1 || breaches[0].Kind != c.want):
			t.Errorf("%s: got %v, want %s", c.name, breaches, c.want)
		}
	}
}
