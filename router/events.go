package router

import (
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/quota"
)

// Event is an input of a Router. Events about requests, responses and connections come from the data path. Events about the configuration, the
// routers of the fleet and the replicas come from the daemon, which sends the same events to programs that follow it.
//
// Events to followers are encoded with gob in the forms of encoding.go, and commands read events as JSON. Neither format may change. In JSON,
// "go" is the ID of an attempt, "offer" a service and "kind" a request class.
type Event interface{ event() }

// Arrival is the arrival of a new request.
type Arrival struct {
	// Request is the ID of the request. Service and Class are the names of the service and the request class that it asks for.
	Request string `json:"request"`
	Service string `json:"offer"`
	Class   string `json:"kind"`
	// Prefix is the X-Prompt-Prefix header, TailTokens the number of prompt tokens that follow the prefix.
	Prefix     string `json:"prefix"`
	TailTokens int    `json:"tail"`

	// Host and Path select a route if Service is empty. Model is the model whose cached prefixes count; empty means that of the service.
	Host  string `json:"host,omitempty"`
	Path  string `json:"path,omitempty"`
	Model string `json:"model,omitempty"`
	// PromptTokens is the length of the whole prompt in tokens, MaxOutputTokens the maximum length of the output in tokens; 0 means unknown.
	PromptTokens    int `json:"tokens,omitempty"`
	MaxOutputTokens int `json:"most,omitempty"`
	// Key is the hash of the client's API key if HasKey is set.
	Key    config.KeyHash `json:"-"`
	HasKey bool           `json:"-"`
	// Timeout is how long the client waits; 0 means unknown.
	Timeout time.Duration `json:"patience,omitempty"`
}

// SnapshotUpdate carries a configuration snapshot. It is ignored unless it is newer than the one in force.
type SnapshotUpdate struct {
	Snapshot *config.Snapshot
}

// ListingState is the state that operators set for a replica. Its values are public.
type ListingState string

// The states of listings. The empty string means Present.
const (
	Present  ListingState = "present"
	Draining ListingState = "leaving"
	Removed  ListingState = "gone"
)

// draining reports whether the replica must get no new requests.
func (s ListingState) draining() bool { return s == Draining || s == Removed }

// Valid reports whether s is one of the three states or empty.
func (s ListingState) Valid() bool {
	return s == "" || s == Present || s == Draining || s == Removed
}

// Listing carries the state that operators set for a replica of the configuration document.
type Listing struct {
	Replica string       `json:"replica"`
	State   ListingState `json:"state"`
}

// Instance is one incarnation of a replica in the platform's list.
type Instance struct {
	ID, Service, Addr, Zone string
	Model                   string
	// WeightsRevision is the revision of the model's weights. Prefixes that were cached with one revision are useless with another.
	WeightsRevision string
	// Capacity is the number of requests that the instance can run at once.
	Capacity int
	// Draining is set if the platform is about to remove the instance; it gets no new requests.
	Draining bool
	// WarmUpRemaining is how much longer the instance counts as warming up, from when the list was read.
	WarmUpRemaining time.Duration
}

// ReplicaList is the platform's complete list of replicas, as read Age ago. Instances that it does not contain no longer exist.
type ReplicaList struct {
	Instances []Instance
	Age       time.Duration
}

// ReplicaLoad is the load that a replica reported in a response: the numbers of its running and queued requests and of its slots.
type ReplicaLoad struct {
	Replica                string
	Running, Queued, Slots int
}

// WrongInstance reports that another instance responded at the replica's address and did not run the request.
type WrongInstance struct {
	Replica string
}

// Prefill reports that another router sent a prompt to a replica, of which the replica must process the given number of tokens.
type Prefill struct {
	Replica string
	Tokens  int
}

// LoadReport is the state of a replica as seen by a health check.
type LoadReport struct {
	Replica    string `json:"replica"`
	InstanceID string `json:"instanceId"`
	// Running is the number of requests at the replica, from all routers.
	Running int `json:"running"`
	// Leaving is set if the replica reports that it is draining, Down if the health check failed.
	Leaving bool `json:"leaving"`
	Down    bool `json:"down"`
	// Own is set if this node did the health check itself.
	Own bool `json:"own"`
	// Lag is the age of the report, Age how long the instance has been known.
	Lag time.Duration `json:"lag"`
	Age time.Duration `json:"age"`
}

// ReplicaSuspect reports that a connection to the replica was closed. The replica may have restarted, so it counts as warming up until a report
// shows its instance again.
type ReplicaSuspect struct {
	Replica string `json:"replica"`
}

// Routers lists the routers of the fleet and their zones. Capacity and retry budgets are divided among them.
type Routers struct {
	Names []string `json:"names"`
	Zones []string `json:"domains"`
}

// ControlStatus reports that the control plane is reachable. Why is the reason not to serve requests, or "" if there is none.
type ControlStatus struct {
	Why string `json:"why"`
}

// ReadyToSend asks whether the request may be sent on the attempt's connection now. The router decides Send or CancelBeforeSend.
type ReadyToSend struct {
	Request   string `json:"request"`
	AttemptID string `json:"go"`
}

// ResponseHead reports that the head of a response was received.
type ResponseHead struct {
	Request    string `json:"request"`
	AttemptID  string `json:"go"`
	InstanceID string `json:"instanceId"`
	// Failed is set if the response reports a failure of the replica itself.
	Failed bool `json:"failed,omitempty"`
}

// Failures reports how many of the requests of router By failed recently, by replica. Each report replaces the router's previous one.
type Failures struct {
	By   string
	Rows []Failure
}

// Failure is the number N of failed requests at one replica, in which a request without any response counts as one half. Gone is set if another
// instance responded at the replica's address.
type Failure struct {
	Replica string
	N       float64
	Gone    bool
}

// QuotaDecided carries the outcome of a request for a tenant's quota.
type QuotaDecided struct{ quota.Outcome }

// ResponseStarted reports that the first part of a response was passed to the client.
type ResponseStarted struct {
	Request   string `json:"request"`
	AttemptID string `json:"go"`
}

// AttemptEnded reports the result of an attempt.
type AttemptEnded struct {
	Request   string        `json:"request"`
	AttemptID string        `json:"go"`
	Result    AttemptResult `json:"how"`
}

// ClientDisconnected reports that the client disconnected.
type ClientDisconnected struct {
	Request string `json:"request"`
}

// RanElsewhere reports that another router was asked to run the same request before.
type RanElsewhere struct {
	Request string `json:"request"`
}

// Tick only advances the router's time.
type Tick struct{}

// AttemptResult is the result of an attempt.
type AttemptResult string

// The results of attempts.
const (
	// Completed: the response is complete.
	Completed AttemptResult = "whole"
	// Refused: the replica responded that it did not run the request.
	Refused AttemptResult = "refused"
	// Failed: the connection or the response failed after part of the request may have been sent.
	Failed AttemptResult = "broken"
	// NotSent: no byte of the request was sent.
	NotSent AttemptResult = "unreached"
	// Suppressed: according to a witness, another router was asked to run the request before.
	Suppressed AttemptResult = "withheld"
	// NoWitnessQuorum: fewer witnesses than a quorum answered in time.
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
func (ResponseHead) event()       {}
func (ResponseStarted) event()    {}
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
