package router

import (
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/quota"
)

// Event is what a Router takes. Requests, answers and connections are told by the data path; the configuration, the fleet's routers
// and the replicas by the daemon, which sends the same events to programs that follow it.
//
// Events to followers are written by gob in the forms of encoding.go, and commands read events as JSON: both formats stay. In JSON "go" is
// the id of an attempt, "offer" a service, "kind" a class of requests.
type Event interface{ event() }

// Arrival is a new request.
type Arrival struct {
	Request string `json:"request"`
	Service string `json:"offer"`
	Class   string `json:"kind"`
	// Prefix is the X-Prompt-Prefix header; Tail is how many tokens follow the prefix.
	Prefix     string `json:"prefix"`
	TailTokens int    `json:"tail"`

	// Host and Path choose a route where Service is empty.
	Host  string `json:"host,omitempty"`
	Path  string `json:"path,omitempty"`
	Model string `json:"model,omitempty"`
	// PromptTokens is the whole prompt, MaxAnswerTokens the longest answer in tokens; 0: not told.
	PromptTokens    int `json:"tokens,omitempty"`
	MaxOutputTokens int `json:"most,omitempty"`
	// Key is the hash of the client's key where HasKey.
	Key    config.KeyHash `json:"-"`
	HasKey bool           `json:"-"`
	// Timeout is how long the client will wait; 0: not told.
	Timeout time.Duration `json:"patience,omitempty"`
}

// SnapshotUpdate brings a configuration; an older one than that in force is dropped.
type SnapshotUpdate struct {
	Snapshot *config.Snapshot
}

// ListingState is what operators say of a replica. Its values are published.
type ListingState string

// The states of listings; the empty one is Present.
const (
	Present  ListingState = "present"
	Draining ListingState = "leaving"
	Removed  ListingState = "gone"
)

// draining tells whether the replica gets no new requests.
func (s ListingState) draining() bool { return s == Draining || s == Removed }

// Valid tells whether the state is one of the three, or empty.
func (s ListingState) Valid() bool {
	return s == "" || s == Present || s == Draining || s == Removed
}

// Listing is what operators say of a replica of the document.
type Listing struct {
	Replica string       `json:"replica"`
	State   ListingState `json:"state"`
}

// Instance is one incarnation of a replica, as the platform lists it.
type Instance struct {
	ID, Service, Addr, Zone string
	Model                   string
	// Weights is the revision of the model's weights; cached parts serve only the same one.
	Weights  string
	Capacity int
	Draining bool
	// WarmUpRemaining is how much longer it counts as warming up, from the time of reading.
	WarmUpRemaining time.Duration
}

// ReplicaList is the platform's list of replicas, whole, as read Age ago. Instances that it leaves out are gone.
type ReplicaList struct {
	Instances []Instance
	Age       time.Duration
}

// ReplicaLoad is what a replica said of itself in an answer.
type ReplicaLoad struct {
	Replica                string
	Running, Queued, Slots int
}

// WrongInstance says that another instance answered at the replica's address and did not run the request.
type WrongInstance struct {
	Replica string
}

// Prefill says that another router sent a replica a prompt with so many tokens to read.
type Prefill struct {
	Replica string
	Tokens  int
}

// LoadReport is a replica's state as a probe showed it.
type LoadReport struct {
	Replica    string `json:"replica"`
	InstanceID string `json:"instanceId"`
	// Running is how many requests it had, from all routers.
	Running int  `json:"running"`
	Leaving bool `json:"leaving"`
	Down    bool `json:"down"`
	// Own: this node probed it by itself.
	Own bool `json:"own"`
	// Lag is how old the report is, Age how long the instance has been known.
	Lag time.Duration `json:"lag"`
	Age time.Duration `json:"age"`
}

// ReplicaSuspect says that a connection to the replica was shut: it may have restarted, and counts as warming up until it is seen again.
type ReplicaSuspect struct {
	Replica string `json:"replica"`
}

// Routers are the fleet's routers and their zones, by which room and budgets are divided.
type Routers struct {
	Names []string `json:"names"`
	Zones []string `json:"domains"`
}

// ControlStatus says that the control side is in touch; Why is a reason not to serve, or "".
type ControlStatus struct {
	Why string `json:"why"`
}

// ReadyToSend asks whether an attempt's bytes may be sent now; the answer is Send or CancelBeforeSend.
type ReadyToSend struct {
	Request   string `json:"request"`
	AttemptID string `json:"go"`
}

// ResponseHead says that the head of an answer came.
type ResponseHead struct {
	Request    string `json:"request"`
	AttemptID  string `json:"go"`
	InstanceID string `json:"instanceId"`
	// Failed says that the answer is a failure of the replica's own.
	Failed bool `json:"failed,omitempty"`
}

// Failures tells how many requests failed lately at which replicas of a router; each report replaces the one before it.
type Failures struct {
	By   string
	Rows []Failure
}

// Failure counts a silent request for half. Gone says that another instance of the replica answered in its place.
type Failure struct {
	Replica string
	N       float64
	Gone    bool
}

// QuotaDecided says what became of a request for a tenant's quota.
type QuotaDecided struct{ quota.Outcome }

// ResponseStarted says that the first part of an answer was passed on to the client.
type ResponseStarted struct {
	Request   string `json:"request"`
	AttemptID string `json:"go"`
}

// AttemptEnded says how an attempt ended.
type AttemptEnded struct {
	Request   string        `json:"request"`
	AttemptID string        `json:"go"`
	Result    AttemptResult `json:"how"`
}

// ClientDisconnected says that the client is gone.
type ClientDisconnected struct {
	Request string `json:"request"`
}

// RanElsewhere tells that the request was asked for at another router before.
type RanElsewhere struct {
	Request string `json:"request"`
}

// Tick brings nothing but the time.
type Tick struct{}

// AttemptResult is how an attempt ended.
type AttemptResult string

// The ends of attempts.
const (
	// Completed: the answer came to its end.
	Completed AttemptResult = "whole"
	// Refused: the replica said that it did not run the request.
	Refused AttemptResult = "refused"
	// Failed: the connection or the answer failed after bytes may have left.
	Failed AttemptResult = "broken"
	// NotSent: no byte left.
	NotSent AttemptResult = "unreached"
	// Suppressed: a witness knows that another router was asked before.
	Suppressed AttemptResult = "withheld"
	// NoWitnessQuorum: too few witnesses answered in time.
	NoWitnessQuorum AttemptResult = "unvouched"
)

func (Arrival) event()            {}
func (SnapshotUpdate) event()     {}
func (Listing) event()            {}
func (LoadReport) event()         {}
func (Routers) event()            {}
func (ReplicaSuspect) event()     {}
func (Welcome) event()            {}
func (ControlStatus) event()      {}
func (ReadyToSend) event()        {}
func (ResponseHead) event()         {}
func (ResponseStarted) event()      {}
func (AttemptEnded) event()       {}
func (ClientDisconnected) event() {}
func (RanElsewhere) event()       {}
func (Tick) event()               {}
func (ReplicaList) event()        {}
func (ReplicaLoad) event()        {}
func (Prefill) event()            {}
func (WrongInstance) event()      {}
func (Failures) event()           {}
func (QuotaDecided) event()       {}
