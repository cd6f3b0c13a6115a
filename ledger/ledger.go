package ledger

import "strconv"

// Events of a run that the checks use. Replicas also write "cut" and "refused"; the checks ignore them, as they prove nothing.
const (
	EventStarted   = "begun"
	EventCompleted = "done"
)

// Outcomes of a request that the checks distinguish, with the values of the X-Outcome header. Clients write "lost" if they received no
// outcome.
const (
	outcomeCompleted = "done"
	outcomeRejected  = "denied"
	outcomeInvalid   = "bad"
	outcomeDuplicate = "repeat"
)

// RunEvent is a line of a replica's ledger: one event of one run. The JSON keys are kept so that earlier ledgers can still be read.
type RunEvent struct {
	// AtMs is the replica's clock in milliseconds since 1970.
	AtMs       int64  `json:"atMs"`
	Replica    string `json:"replica"`
	InstanceID string `json:"instanceId"`
	Request    string `json:"request"`
	AttemptID  string `json:"go"`
	Event      string `json:"event"`
	// Chunks is the number of response chunks that the replica wrote.
	Chunks int `json:"pieces,omitempty"`
}

// SendResult is a line of a client's ledger: the result of sending one request to one node. A request that is sent again has several.
type SendResult struct {
	// AtMs is the client's clock when it sent the request, in milliseconds since 1970.
	AtMs int64 `json:"atMs"`
	// Node is the name and boot of the node that responded, or its address if they are not known.
	Node       string `json:"node"`
	Request    string `json:"request"`
	Class      string `json:"kind"`
	Idempotent bool   `json:"repeatable"`
	Outcome    string `json:"outcome"`
	// Chunks are the texts of the received response chunks, in order; see ChunkText.
	Chunks []string `json:"pieces,omitempty"`
	// FirstChunkMs is the time from sending the request to the first chunk, in milliseconds.
	FirstChunkMs int64 `json:"firstMs,omitempty"`
}

// ChunkText returns the text of chunk i of a response as stand-in replicas write it. It names the request and the attempt, so that Check
// can verify where a chunk came from.
func ChunkText(request, attempt string, i int) string {
	return request + "|" + attempt + "|" + strconv.Itoa(i)
}
