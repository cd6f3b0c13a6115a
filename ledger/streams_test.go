package ledger

import "testing"

func TestCheckStreamsFindsEachBreach(t *testing.T) {
	event := func(id, text string) StreamEvent { return StreamEvent{ID: id, Text: text} }
	one, two, three := event("1", "a|7|r|1"), event("2", "a|7|r|2"), event("3", "a|7|r|3")
	for _, c := range []struct {
		name     string
		response StreamResponse
		want     string
	}{
		{"complete", StreamResponse{Total: 2, Events: []StreamEvent{one, two}, Complete: true}, ""},
		{"broken off", StreamResponse{Total: 2, Events: []StreamEvent{one}, HasPartialEvent: true}, ""},
		{"resumed by the client", StreamResponse{Total: 3, After: 2, Events: []StreamEvent{three}, Complete: true}, ""},
		{"resumed after the last event", StreamResponse{Total: 2, After: 2, Complete: true}, ""},
		{"event missing", StreamResponse{Total: 3, Events: []StreamEvent{one, three}}, OutOfSequence},
		{"event repeated", StreamResponse{Total: 3, Events: []StreamEvent{one, one}}, OutOfSequence},
		{"event that the client already had", StreamResponse{Total: 3, After: 2, Events: []StreamEvent{one}}, OutOfSequence},
		{"event of another request", StreamResponse{Total: 3, Events: []StreamEvent{event("1", "b|7|r|1")}}, WrongRequest},
		{"text of another event", StreamResponse{Total: 3, Events: []StreamEvent{event("1", "a|7|r|2")}}, WrongRequest},
		{"text joined with bytes of another event", StreamResponse{Total: 3, Events: []StreamEvent{event("1", "a|7|a|7|r|1")}}, WrongRequest},
		{"two weights versions", StreamResponse{Total: 3, Events: []StreamEvent{one, event("2", "a|6|r|2")}}, Spliced},
		{"two runs, not resumable", StreamResponse{Total: 2, Events: []StreamEvent{one, event("2", "a|7|s|2")}, Complete: true}, Spliced},
		{"resumed by a node", StreamResponse{Total: 2, Events: []StreamEvent{one, event("2", "a|7|s|2")}, Complete: true, Resumable: true}, ""},
		{"complete without the last event", StreamResponse{Total: 3, Events: []StreamEvent{one, two}, Complete: true}, Truncated},
		{"complete with a partial event at the end", StreamResponse{Total: 2, Events: []StreamEvent{one, two}, Complete: true, HasPartialEvent: true}, Truncated},
	} {
		c.response.Request = "a"
		breaches := CheckStreams([]StreamResponse{c.response})
		switch {
		case c.want == "" && len(breaches) > 0:
			t.Errorf("%s: got %v, want no breach", c.name, breaches)
		case c.want != "" && (len(breaches) != 1 || breaches[0].Kind != c.want):
			t.Errorf("%s: got %v, want %s", c.name, breaches, c.want)
		}
	}
}
