package control

import "github.com/mallowbridge/mallowbridge/router"

// LoadReports is the gossip item with the load of the replicas of one zone (Zone), as the node named By probed them. Urgent says that a
// replica went up, down or began to drain since the item before.
type LoadReports struct {
	Zone   string
	By     string
	Urgent bool
	Rows   []router.LoadReport
}

// SentOnce says whether the item is pushed to each peer once only; urgent ones are repeated.
func (u LoadReports) SentOnce() bool { return !u.Urgent }

// ReplicaState is the gossip item with what operators say of a replica: State is one of the router's listing states.
type ReplicaState struct {
	Replica string              `json:"replica"`
	State   router.ListingState `json:"state"`
}

// WitnessQuery asks a witness to remember that the router By is about to send the request. RequestID numbers the inquiry; with Peek nothing is
// remembered.
type WitnessQuery struct {
	QueryID uint64
	Request string
	By      string
	Peek    bool
}

// WitnessReply answers the WitnessAsk numbered RequestID. First: no other router has asked about the request. Young: the witness started so recently
// that it may have forgotten an earlier inquiry.
type WitnessReply struct {
	QueryID         uint64
	First           bool
	RecentlyStarted bool
}

// WitnessForget takes back a WitnessAsk that ended without enough answers.
type WitnessForget WitnessQuery
