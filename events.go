package mallowbridge

import (
	"time"

	"github.com/mallowbridge/mallowbridge/charter"
)

type Event interface{ event() }

type Arrive struct {
	Request string `json:"request"`
	Offer   string `json:"offer"`
	Kind    string `json:"kind"`
	Prefix  string `json:"prefix"`
	Tail    int    `json:"tail"`
}

type Order struct {
	Picture *charter.Picture
}

type Listing struct {
	Replica string `json:"replica"`
	State   string `json:"state"`
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

func (Arrive) event()   {}
func (Order) event()    {}
func (Listing) event()  {}
func (Usage) event()    {}
func (Routers) event()  {}
func (Doubt) event()    {}
func (Welcome) event()  {}
func (Feed) event()     {}
func (Leave) event()    {}
func (Head) event()     {}
func (Piece) event()    {}
func (End) event()      {}
func (Hangup) event()   {}
func (Withhold) event() {}
func (Tick) event()     {}

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
}
