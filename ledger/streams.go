package ledger

import (
	"fmt"
	"strconv"
	"strings"
)

// StreamResponse is a line of a streaming client's ledger: what came of one answer. A request whose answer broke off has several.
type StreamResponse struct {
	// AtMs is the client's clock when it asked, in milliseconds since 1970.
	AtMs    int64  `json:"atMs"`
	Node    string `json:"node"`
	Request string `json:"request"`
	// After is the id of the newest event that the client had before, 0 for none; Total is how many events the request is to bring.
	After int `json:"after"`
	Total int `json:"total"`
	// Resumable tells that events of several runs may follow each other.
	Resumable bool `json:"resumable"`
	// Events are those that ended, in the order in which they came.
	Events []StreamEvent `json:"events"`
	// Complete tells that the answer ended as complete, Torn that bytes stood behind its last event.
	Complete        bool `json:"complete"`
	HasPartialEvent bool `json:"torn,omitempty"`
}

// StreamEvent is one event of a stream.
type StreamEvent struct {
	ID   string `json:"id"`
	Text string `json:"text"`
}

// StreamText is the text of event id of a request, as stand-in replicas with weights of that version write it in one run.
func StreamText(request string, weights uint64, run string, id int) string {
	return request + "|" + strconv.FormatUint(weights, 10) + "|" + run + "|" + strconv.Itoa(id)
}

// streamText is a StreamText taken apart.
type streamText struct{ request, weights, run, id string }

func parseStreamText(text string) (streamText, bool) {
	f := strings.Split(text, "|")
	if len(f) != 4 {
		return streamText{}, false
	}
	return streamText{request: f[0], weights: f[1], run: f[2], id: f[3]}, true
}

// CheckStreams gives the first breach of each answer: an event missing, twice or of another request, events of two versions of the weights
// in one answer, of two runs where it can't be resumed, or an end as complete before the last event.
func CheckStreams(answers []StreamResponse) []Breach {
	var breaches []Breach
	for i := range answers {
		if b, broken := checkStream(&answers[i]); broken {
			breaches = append(breaches, b)
		}
	}
	return breaches
}

func checkStream(a *StreamResponse) (Breach, bool) {
	breach := func(what, format string, args ...any) (Breach, bool) {
		return Breach{Kind: what, Request: a.Request, Detail: fmt.Sprintf("by %s: ", a.Node) + fmt.Sprintf(format, args...)}, true
	}
	last, before := a.After, streamText{}
	for i, e := range a.Events {
		text, readable := parseStreamText(e.Text)
		if !readable || text.request != a.Request || text.id != e.ID {
			return breach(WrongRequest, "event %q says %q", e.ID, e.Text)
		}
		if i > 0 && (text.weights != before.weights || (text.run != before.run && !a.Resumable)) {
			return breach(Spliced, "event %s is of run %s, weights %s, those before of %s, %s", e.ID, text.run, text.weights, before.run, before.weights)
		}
		before = text
		if e.ID != strconv.Itoa(last+1) {
			return breach(OutOfSequence, "event %s after %d", e.ID, last)
		}
		last++
	}
	if a.Complete && (last != a.Total || a.HasPartialEvent) {
		return breach(Truncated, "%d events of %d, torn: %v", last, a.Total, a.HasPartialEvent)
	}
	return Breach{}, false
}
