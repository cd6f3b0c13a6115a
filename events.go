package mallowbridge

import (
	"time"

	"github.com/mallowbridge/mallowbridge/config"
)

type Event interface{ event() }

type Arrive struct {
	Request string `json:"request"`
	Offer   string `json:"offer"`
	Kind    string `json:"kind"`
	Prefix  string `json:"prefix"`
	Tail    int    `json:"tail"`

	// Host and Path choose a route where Offer is empty.
	Host  string `json:"host,omitempty"`
	Path  string `json:"path,omitempty"`
	Model string `json:"model,omitempty"`
	// Tokens is the whole prompt, Most the longest answer in tokens; 0: not told.
	Tokens int `json:"tokens,omitempty"`
	Most   int `json:"most,omitempty"`
	// Patience is how long the user agent will wait; 0: not told.
	Patience time.Duration `json:"patience,omitempty"`
}

type Order struct {
	Picture *config.Snapshot
}

type Listing struct {
	Replica string `json:"replica"`
	State   string `json:"state"`
}

// Instance is one life of a replica, as the platform lists it.
type Instance struct {
	ID, Offer, Addr, Domain string
	Model                   string
	// Weights is the revision of the model's weights; kept parts serve only the same one.
	Weights string
	Room    int
	Leaving bool
	// Cold is how much longer it counts as cold, from the time of reading.
	Cold time.Duration
}

// Roster is the platform's list of replicas, whole, as read Age ago. Instances that it leaves out are gone.
type Roster struct {
	Rows []Instance
	Age  time.Duration
}

// Load is what a replica said of itself in an answer.
type Load struct {
	Replica                 string
	Running, Waiting, Slots int
}

// Misplaced says that another instance answered at the replica's address and did not run the request.
type Misplaced struct {
	Replica string
}

// Prefill says that another router sent a replica a prompt with so many tokens to read.
type Prefill struct {
	Replica string
	Tokens  int
}

type Usage struct {
	Replica    string        `json:"replica"`
	InstanceID string        `json:"instanceId"`
	Running    int           `json:"running"`
	Leaving    bool          `json:"leaving"`
	Down       bool          `json:"down"`
	Own        bool          `json:"own"`
	Lag        time.Duration `json:"lag"`
	Age        time.Duration `json:"age"`
}

// Doubt says that a connection to the replica was shut: it may have restarted, and counts as cold until it is seen again.
type Doubt struct {
	Replica string `json:"replica"`
}

type Routers struct {
	Names   []string `json:"names"`
	Domains []string `json:"domains"`
}

type Feed struct {
	Why string `json:"why"`
}

type Leave struct {
	Request string `json:"request"`
	Go      string `json:"go"`
}

type Head struct {
	Request    string `json:"request"`
	Go         string `json:"go"`
	InstanceID string `json:"instanceId"`
	// Failed says that the answer is a failure of the replica's own.
	Failed bool `json:"failed,omitempty"`
}

// Failures tells how many requests failed lately at which replicas of a router; each report replaces the one before it.
type Failures struct {
	By   string
	Rows []Failure
}

// Failure counts a silent request for half. Gone says that another life of the replica answered in its place.
type Failure struct {
	Replica string
	N       float64
	Gone    bool
}

type Piece struct {
	Request string `json:"request"`
	Go      string `json:"go"`
}

type End struct {
	Request string `json:"request"`
	Go      string `json:"go"`
	How     How    `json:"how"`
}

type Hangup struct {
	Request string `json:"request"`
}

// Withhold tells that the request was asked for at another router before.
type Withhold struct {
	Request string `json:"request"`
}

type Tick struct{}

type How string

const (
	Whole     How = "whole"
	Refused   How = "refused"
	Broken    How = "broken"
	Unreached How = "unreached"
	Withheld  How = "withheld"
	Unvouched How = "unvouched"
)

func (Arrive) event()    {}
func (Order) event()     {}
func (Listing) event()   {}
func (Usage) event()     {}
func (Routers) event()   {}
func (Doubt) event()     {}
func (Welcome) event()   {}
func (Feed) event()      {}
func (Leave) event()     {}
func (Head) event()      {}
func (Piece) event()     {}
func (End) event()       {}
func (Hangup) event()    {}
func (Withhold) event()  {}
func (Tick) event()      {}
func (Roster) event()    {}
func (Load) event()      {}
func (Prefill) event()   {}
func (Misplaced) event() {}
func (Failures) event()  {}

type Verdict string

const (
	Place   Verdict = "place"
	Send    Verdict = "send"
	Recall  Verdict = "recall"
	Deny    Verdict = "deny"
	Cancel  Verdict = "cancel"
	Unknown Verdict = "unknown"
	Partial Verdict = "partial"
	Done    Verdict = "done"
	Peek    Verdict = "peek"
)

type Decision struct {
	Verdict   Verdict       `json:"verdict"`
	Request   string        `json:"request"`
	Go        string        `json:"go,omitempty"`
	Replica   string        `json:"replica,omitempty"`
	Addr      string        `json:"addr,omitempty"`
	Prefill   string        `json:"prefill,omitempty"`
	Why       string        `json:"why,omitempty"`
	After     time.Duration `json:"after,omitempty"`
	Late      bool          `json:"late,omitempty"`
	Confirmed int           `json:"confirmed,omitempty"`
	Predicted int           `json:"predicted,omitempty"`
	Repeat    bool          `json:"repeat,omitempty"`
	Bad       bool          `json:"bad,omitempty"`
	Once      bool          `json:"once,omitempty"`
	Spare     time.Duration `json:"spare,omitempty"`

	// Instance is the life of the replica that was chosen, where the platform lists it.
	Instance string `json:"instance,omitempty"`
	// Route is the route taken, nil for a request to /v1/offers. It is immutable.
	Route *config.Route `json:"-"`
	// Unread is how many tokens the replica is expected to read, where it batches and other routers should know.
	Unread int `json:"unread,omitempty"`
	// Rank tells the replica how urgent the request is, 0 first.
	Rank int `json:"rank,omitempty"`
	// Conns is the most connections that this node may keep to the replica; 0: no bound.
	Conns int `json:"conns,omitempty"`
	// Until is when the request is given up, on the router's clock; 0: not bounded.
	Until time.Duration `json:"until,omitempty"`
	// Resumes tells that the replica is to go on after the last event passed on.
	Resumes bool `json:"resumes,omitempty"`
}
