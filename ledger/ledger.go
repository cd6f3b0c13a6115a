package ledger

import "strconv"

// The events of a run that a replica writes. "cut" and "refused" are written too and prove nothing.
const (
	EventStarted   = "begun"
	EventCompleted = "done"
)

// The outcomes of a request that the checker tells apart, as in the product's X-Outcome header. What a client did not hear is "lost".
const (
	outcomeDone   = "done"
	outcomeDenied = "denied"
	outcomeBad    = "bad"
	outcomeRepeat = "repeat"
)

// RunEvent is a line of a replica's ledger: one event of one run. AttemptID is its attempt; the JSON names are those of ledgers that
// were written before.
type RunEvent struct {
	// AtMs is the replica's clock in milliseconds since 1970.
	AtMs       int64  `json:"atMs"`
	Replica    string `json:"replica"`
	InstanceID string `json:"instanceId"`
	Request    string `json:"request"`
	AttemptID  string `json:"go"`
	Event      string `json:"event"`
	// Chunks is how many pieces of the answer the replica wrote.
	Chunks int `json:"pieces,omitempty"`
}

// SendResult is a line of a client's ledger: what came of sending one request to one node. A request that is sent again has several.
type SendResult struct {
	// AtMs is the client's clock when it sent, in milliseconds since 1970.
	AtMs int64 `json:"atMs"`
	// Node is the name and boot of the node that answered, its address where none is known.
	Node       string   `json:"node"`
	Request    string   `json:"request"`
	Class      string   `json:"kind"`
	Idempotent bool     `json:"repeatable"`
	Outcome    string   `json:"outcome"`
	Chunks     []string `json:"pieces,omitempty"`
	// FirstChunkMs is how long the first piece took.
	FirstChunkMs int64 `json:"firstMs,omitempty"`
}

// ChunkText is the text of an answer's piece i, as stand-in replicas write it, so that the checker sees whose it is.
func ChunkText(request, attempt string, i int) string {
	return request + "|" + attempt + "|" + strconv.Itoa(i)
}
