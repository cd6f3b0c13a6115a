package scheduler

import (
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

type State uint8

const (
	Waiting State = iota + 1
	Placed
	Sent
	Begun
)

type Ask struct {
	Offer, Kind int
	Parts       []prefixindex.Part
	Tail        int
	At          time.Duration
	// Due is the aim for the first token, Deadline when the request is given up.
	Due, Deadline time.Duration
	// Patience bounds the deadline where it is told.
	Patience time.Duration

	State     State
	Go        uint64
	Rep       int
	Prefill   int
	Gos       int
	Sends     int
	Second    bool
	Resume    bool
	Forced    bool
	MayRan    bool
	Vouched   bool
	Paid      bool
	Peeked    bool
	Silent    bool
	Began     time.Duration
	Sent      time.Duration
	Confirmed bool
	Conf      int
	Pred      int
	Est       time.Duration
	// Alone: nothing unread was known at the replica when the request was placed.
	Alone bool
	live  bool
	price float64
}

// settled tells whether a go that was sent needs no more leave: it may be repeated, is routed, or its witnesses have answered.
func (a *Ask) settled(m *Market) (yes bool) {
	k := &m.Offers[a.Offer].Kinds[a.Kind]
	return a.Vouched || k.Repeatable || k.routed()
}

type Asks struct {
	rows []Ask
	free []int
	n    int
}

func (t *Asks) add(a Ask) (id int) {
	a.live = true
	t.n++
	if n := len(t.free); n > 0 {
		id = t.free[n-1]
		t.free = t.free[:n-1]
		t.rows[id] = a
		return id
	}
	t.rows = append(t.rows, a)
	return len(t.rows) - 1
}

func (t *Asks) drop(id int) {
	t.rows[id] = Ask{}
	t.free = append(t.free, id)
	t.n--
}

func (t *Asks) get(id int) (a *Ask) {
	if id < 0 || id >= len(t.rows) || !t.rows[id].live {
		return nil
	}
	return &t.rows[id]
}

type Kind struct {
	Value, Urgency float64
	Bound          time.Duration
	Repeatable     bool
	Gone           bool

	// Attempts is the most sends of one request; above 0 for routes, whose request ids never return.
	Attempts  int
	Timeout   time.Duration
	Resumable bool
}

func (k *Kind) routed() (yes bool) { return k.Attempts > 0 }

type Offer struct {
	Name           string
	Kinds          []Kind
	Reps           []int
	ColdRoom       int
	ColdRamp       time.Duration
	Base, PerToken time.Duration
	CrossCost      float64
	SecondShare    float64
	SecondPlus     int
	Split          bool

	// Queues: replicas queue beyond their room and tell their load, so room is not divided.
	Queues   bool
	MaxConns int
	// Batches: replicas read prompts in pieces between the tokens of others.
	Batches bool
	// pace is how many nanoseconds they are seen to read a token in.
	pace float64
	// ColdRate is how many starts a second a cold replica bears from all routers together; 0: no bound.
	ColdRate float64

	second purse
	flow   flow
	hold   time.Duration
	Firsts uint64
	Again  uint64
	Spared uint64
}
