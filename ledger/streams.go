package ledger

import (
	"fmt"
	"strconv"
	"strings"
)

// StreamAnswer is a line of a streaming client's ledger: what came of one answer. A request whose answer broke off has several.
type StreamAnswer struct {
	// AtMs is the client's clock when it asked, in milliseconds since 1970.
	AtMs    int64  `json:"atMs"`
	Node    string `json:"node"`
	Request string `json:"request"`
	// After is the id of the newest event that the client had before, 0 for none; Total is how many events the request is to bring.
	After int `json:"after"`
	Total int `json:"total"`
	// Events are those that ended, in the order in which they came.
	Events []StreamEvent `json:"events"`
	// Complete tells that the answer ended as complete, Torn that bytes stood behind its last event.
	Complete bool `json:"complete"`
	Torn     bool `json:"torn,omitempty"`
}

// StreamEvent is one event of a stream.
type StreamEvent struct {
	ID   string `json:"id"`
	Text string `json:"text"`
}

// StreamText is the text of event id of a request, as stand-in replicas with weights of that version write it.
func StreamText(request string, weights uint64, id int) string {
	return request + "|" + strconv.FormatUint(weights, 10) + "|" + strconv.Itoa(id)
}

// CheckStreams gives the first breach of each answer: an event missing, twice or of another request, events of two versions of the weights
// in one answer, or an end as complete before the last event.
func CheckStreams(answers []StreamAnswer) []Breach {
	var breaches []Breach
	for i := range answers {
		if b, broken := checkStream(&answers[i]); broken {
			breaches = append(breaches, b)
		}
	}
	return breaches
}

func checkStream(a *StreamAnswer) (Breach, bool) {
	breach := func(what, format string, args ...any) (Breach, bool) {
		return Breach{What: what, Request: a.Request, Detail: fmt.Sprintf("by %s: ", a.Node) + fmt.Sprintf(format, args...)}, true
	}
	last, weights := a.After, ""
	for _, e := range a.Events {
		f := strings.Split(e.Text, "|")
		if len(f) != 3 || f[0] != a.Request || f[2] != e.ID {
			return breach(Mixed, "event %q says %q", e.ID, e.Text)
		}
		if weights != "" && f[1] != weights {
			return breach(Spliced, "event %s is of weights %s, those before of %s", e.ID, f[1], weights)
		}
		weights = f[1]
		if e.ID != strconv.Itoa(last+1) {
			return breach(Gap, "event %s after %d", e.ID, last)
		}
		last++
	}
	if a.Complete && (last != a.Total || a.Torn) {
		return breach(Truncated, "%d events of %d, torn: %v", last, a.Total, a.Torn)
	}
	return Breach{}, false
}
