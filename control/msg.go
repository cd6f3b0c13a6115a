package control

import (
	"encoding/gob"
	"time"

	"github.com/mallowbridge/mallowbridge"
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/lease"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/register"
)

func init() {
	for name, v := range map[string]any{
		"pp": register.Prepare{}, "pq": register.Promise{}, "pa": register.Accept{}, "pb": register.Accepted{}, "pv": &register.Value{},
		"ta": lease.Ask{}, "tg": lease.Grant{}, "td": lease.Drop{},
		"kp": membership.Ping{}, "ka": membership.Ack{}, "kf": membership.PingFor{}, "km": membership.Member{},
		"rn": gossip.News{}, "rs": gossip.Sum{}, "rm": gossip.Marks{}, "rw": gossip.Want{}, "rt": gossip.Tell{},
		"cu": Usages{}, "cl": Listing{}, "cr": Roster{}, "ch": Reading{}, "cp": Prefills{}, "cf": Failures{},
		"ws": WitnessAsk{}, "wy": WitnessSay{}, "wf": WitnessForget{},
	} {
		gob.RegisterName(name, v)
	}
}

type Usages struct {
	Domain string
	By     string
	Urgent bool
	Rows   []mallowbridge.Usage
}

func (u Usages) Passing() (yes bool) { return !u.Urgent }

type Listing struct {
	Replica string `json:"replica"`
	State   string `json:"state"`
}

type WitnessAsk struct {
	Rid     uint64
	Request string
	By      string
	Peek    bool
}

type WitnessSay struct {
	Rid   uint64
	First bool
	Young bool
}

type WitnessForget WitnessAsk

type In interface{ in() }

type Recv struct {
	From string
	Msg  any
}

type Tick struct{}

type Saved struct {
	Ticket uint64
	Err    error
	// Mended tells that everything was written anew after a failure.
	Mended bool
}

type Probed struct {
	Replica    string
	Own        bool
	OK         bool
	InstanceID string
	Running    int
	Leaving    bool
	Lag        time.Duration
}

type Command struct {
	ID uint64
	Op Op
}

func (Recv) in()    {}
func (Tick) in()    {}
func (Saved) in()   {}
func (Probed) in()  {}
func (Command) in() {}

type Op interface{ op() }

type Put struct {
	ID     string
	Expect uint64
	Body   []byte
}

// Edit changes the document by a function of the one in place, which may be called several times.
type Edit struct {
	ID    string
	Apply func(body []byte) (next []byte, err error)
}

type Get struct{}

type Empty struct {
	ID      string
	Domain  string
	Restore bool
}

type Found struct{ Names []string }

type Swap struct {
	ID    string
	Names []string
}

type Listed struct {
	Rows []Listing
	At   uint64
}

type Witness struct {
	Request string
	Spare   time.Duration
	Peek    bool
}

// Seeds replaces the addresses that a node turns to when it knows nobody.
type Seeds struct{ Addrs []string }

type Libs struct{ N int }

type Depart struct{}

func (Put) op()     {}
func (Edit) op()    {}
func (Get) op()     {}
func (Empty) op()   {}
func (Found) op()   {}
func (Swap) op()    {}
func (Listed) op()  {}
func (Witness) op() {}
func (Libs) op()    {}
func (Seeds) op()   {}
func (Depart) op()  {}

type Send struct {
	To  string
	Msg any
}

type Write struct {
	Ticket uint64
	Entry  any
}

type Answer struct {
	ID      uint64
	Value   *register.Value
	Mark    uint64
	Verdict Verdict
	Err     error
}

type Probe struct {
	Replica, Addr string
	Own           bool
}

type Out struct {
	Sends   []Send
	Writes  []Write
	Answers []Answer
	Events  []mallowbridge.Event
	Probes  []Probe
	Looks   []string
	List    bool
	Changes []Change
}

type Change struct{ What, Detail string }

type NameError struct{ Name, Why string }

func (e *NameError) Error() (text string) { return e.Name + ": " + e.Why }
