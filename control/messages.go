package control

import "github.com/mallowbridge/mallowbridge/router"

// LoadReports is the gossip item with the load of the replicas of one zone, as the node By probed them. Urgent is set if a replica went up,
// went down or began to drain since the previous item.
type LoadReports struct {
	Zone   string
	By     string
	Urgent bool
	Rows   []router.LoadReport
	// Unleased reports that the node did not have the zone's lease; builds from before it was added leave it unset.
	Unleased bool
}

// SentOnce reports whether the item is pushed only once to each peer. Urgent items are pushed repeatedly.
func (u LoadReports) SentOnce() bool { return !u.Urgent }

// ReplicaState is the gossip item with the state that operators set for a replica: one of the router's listing states.
type ReplicaState struct {
	Replica string              `json:"replica"`
	State   router.ListingState `json:"state"`
}

// WitnessQuery asks a witness to remember that the router By is about to send the request, unless another router has asked before. QueryID
// numbers the query. With Peek, the witness remembers nothing.
type WitnessQuery struct {
	QueryID uint64
	Request string
	By      string
	Peek    bool
}

// WitnessReply answers the WitnessQuery numbered QueryID. First is set if no other router has asked about the request. RecentlyStarted is
// set if the witness started so recently that it may have lost an earlier query in a restart.
type WitnessReply struct {
	QueryID         uint64
	First           bool
	RecentlyStarted bool
}

// WitnessForget withdraws a WitnessQuery that ended without enough replies.
type WitnessForget WitnessQuery
