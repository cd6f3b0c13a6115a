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
		"ta": lease.Request{}, "tg": lease.Grant{}, "td": lease.Release{},
		"kp": membership.Ping{}, "ka": membership.Ack{}, "kf": membership.PingFor{}, "km": membership.Member{},
		"rn": gossip.Update{}, "rs": gossip.Checksum{}, "rm": gossip.Digest{}, "rw": gossip.Pull{}, "rt": gossip.Announcement{},
		"cu": LoadReports{}, "cl": Listing{}, "cr": Roster{}, "ch": Reading{}, "cp": Prefills{}, "cf": Failures{},
		"xp": ChunkPull{}, "xd": ChunkData{},
		"ws": WitnessAsk{}, "wy": WitnessSay{}, "wf": WitnessForget{},
	} {
		gob.RegisterName(name, v)
	}
}

type LoadReports struct {
	Domain string
	By     string
	Urgent bool
	Rows   []mallowbridge.LoadReport
}

func (u LoadReports) SentOnce() (yes bool) { return !u.Urgent }

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

// Received is a message of another node. Build is the sender's as its connection said it, 0 where that isn't known.
type Received struct {
	From  string
	Build uint32
	Msg   any
}

type Tick struct{}

type Persisted struct {
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

// Command is a call of an operator or of the daemon. ID ties its Answer to it.
type Command struct {
	ID uint64
	Op Op
	// Deadline is when an order may last take effect, on the node's clock; 0 for the operation's own bound, counted from the Step.
	Deadline time.Duration
}

func (Received) in()  {}
func (Tick) in()      {}
func (Persisted) in() {}
func (Probed) in()    {}
func (Command) in()   {}

type Op interface{ op() }

type Put struct {
	ID     string
	Expect uint64
	Body   []byte
}

// Edit changes the document by a function of the one in place, which may be called several times.
// Base is the revision that it builds on, the ConflictErrors of Apply tell the current one; an id belongs to one base.
type Edit struct {
	ID    string
	Base  uint64
	Apply func(body []byte) (next []byte, err error)
}

type Get struct{}

type Evacuate struct {
	ID      string
	Domain  string
	Restore bool
}

type Bootstrap struct{ Names []string }

type ReplaceVoters struct {
	ID    string
	Names []string
}

type SetListings struct {
	Rows []Listing
	At   uint64
}

type Witness struct {
	Request string
	Spare   time.Duration
	Peek    bool
}

// Seeds replaces the addresses that a node turns to when it knows nobody.
type SetSeeds struct{ Addrs []string }

type SetFollowers struct{ N int }

// Retire says that the process was told to end and will soon leave: until then it votes on, and its seat goes to a spare disk.
type Retire struct{}

type Leave struct{}

func (Put) op()           {}
func (Edit) op()          {}
func (Get) op()           {}
func (Evacuate) op()      {}
func (Bootstrap) op()     {}
func (ReplaceVoters) op() {}
func (SetListings) op()   {}
func (Witness) op()       {}
func (SetFollowers) op()  {}
func (SetSeeds) op()      {}
func (Retire) op()        {}
func (Leave) op()         {}

type Send struct {
	To  string
	Msg any
}

type LogWrite struct {
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
	Writes  []LogWrite
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
