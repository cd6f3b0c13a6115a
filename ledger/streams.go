package ledger

import (
	"fmt"
	"strconv"
	"strings"
)

// StreamResponse is a line of a streaming client's ledger: one response. A request whose response broke off and was resumed has several.
type StreamResponse struct {
	// AtMs is the client's clock when it sent the request, in milliseconds since 1970.
	AtMs    int64  `json:"atMs"`
	Node    string `json:"node"`
	Request string `json:"request"`
	// After is the id of the last event that the client received in earlier responses, 0 for none.
	After int `json:"after"`
	// Total is the number of events that all responses to the request should have together.
	Total int `json:"total"`
	// Resumable reports that the response may contain events of several runs, one after the other.
	Resumable bool `json:"resumable"`
	// Events are the events that were received whole, in the order of arrival.
	Events []StreamEvent `json:"events"`
	// Complete reports that the response ended as complete, HasPartialEvent that bytes of an unfinished event followed the last whole one.
	Complete        bool `json:"complete"`
	HasPartialEvent bool `json:"torn,omitempty"`
}

// StreamEvent is one event of a stream.
type StreamEvent struct {
	ID   string `json:"id"`
	Text string `json:"text"`
}

// StreamText returns the text of the event with that id as stand-in replicas write it. It names the request, the version of the weights and
// the run, so that CheckStreams can verify where an event came from.
func StreamText(request string, weights uint64, run string, id int) string {
	return request + "|" + strconv.FormatUint(weights, 10) + "|" + run + "|" + strconv.Itoa(id)
}

// streamText contains the fields of a text that StreamText returned.
type streamText struct{ request, weights, run, id string }

func parseStreamText(text string) (streamText, bool) {
	f := strings.Split(text, "|")
	if len(f) != 4 {
		return streamText{}, false
	}
	return streamText{request: f[0], weights: f[1], run: f[2], id: f[3]}, true
}

// CheckStreams returns the first breach of each response: an event that is missing, repeated or of another request; events of two versions
// of the weights; events of two runs if the response is not resumable; or an end as complete before the last event.
func CheckStreams(responses []StreamResponse) []Breach {
	var breaches []Breach
	for i := range responses {
		if b, bad := checkStream(&responses[i]); bad {
			breaches = append(breaches, b)
		}
	}
	return breaches
}

func checkStream(r *StreamResponse) (Breach, bool) {
	breach := func(kind, format string, args ...any) (Breach, bool) {
		return Breach{Kind: kind, Request: r.Request, Detail: fmt.Sprintf("by %s: ", r.Node) + fmt.Sprintf(format, args...)}, true
	}
	last, previous := r.After, streamText{}
	for i, e := range r.Events {
		text, ok := parseStreamText(e.Text)
		if !ok || text.request != r.Request || text.id != e.ID {
			return breach(WrongRequest, "event %q has text %q", e.ID, e.Text)
		}
		if i > 0 && (text.weights != previous.weights || (text.run != previous.run && !r.Resumable)) {
			return breach(Spliced, "event %s is of run %s and weights %s, the event before it of run %s and weights %s", e.ID, text.run, text.weights, previous.run, previous.weights)
		}
		previous = text
		if e.ID != strconv.Itoa(last+1) {
			return breach(OutOfSequence, "event %s after %d", e.ID, last)
		}
		last++
	}
	if r.Complete && (last != r.Total || r.HasPartialEvent) {
		return breach(Truncated, "%d events of %d, partial event at the end: %v", last, r.Total, r.HasPartialEvent)
	}
	return Breach{}, false
}
