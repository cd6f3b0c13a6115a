package control

import "time"

// Input is an input of Node.Step.
type Input interface{ in() }

// Received is a message of another node, of the types that Send may carry. Build is the sender's as its connection said it, 0 where that isn't known.
type Received struct {
	From  string
	Build uint32
	Msg   any
}

// Tick has the node do what is due by its clock. It is expected several times within membership.Config.PauseGap.
type Tick struct{}

// Persisted reports that the log writes up to Ticket are durable, or that writing failed with Err.
type Persisted struct {
	Seq uint64
	Err error
	// Repaired tells that everything was written anew after a failure.
	Repaired bool
}

// Probed is the outcome of a Probe. Local repeats that of the Probe; OK says whether the replica answered, and only then do the other fields
// hold: the instance, its running requests, whether it drains, and by how much its figures lag behind.
type Probed struct {
	Replica    string
	Local      bool
	OK         bool
	InstanceID string
	Running    int
	Draining   bool
	Lag        time.Duration
}

// Command is a call of an operator or of the daemon. ID ties its Answer to it.
type Command struct {
	ID uint64
	Op Op
	// Deadline is when an order may last take effect, on the node's clock; 0 for the operation's own bound, counted from the Step.
	Deadline time.Duration
}

// Cancel says that the caller of a Command has left. An order that was not proposed to voters by now never is; the Command is answered all
// the same. Other operations run on.
type Cancel struct {
	// ID is the Command's.
	ID uint64
}

func (Received) in()  {}
func (Tick) in()      {}
func (Persisted) in() {}
func (Probed) in()    {}
func (Command) in()   {}
func (Cancel) in()    {}

// Op is the operation that a Command asks for.
type Op interface{ op() }

// Put replaces the document if its revision is Expect, else it fails with a register.ConflictError. ID makes repetitions harmless.
type Put struct {
	ID              string
	ExpectedVersion uint64
	Document        []byte
}

// Edit changes the document by a function of the one in place, which may be called several times.
// Base is the revision that it builds on, the ConflictErrors of Apply tell the current one; an id belongs to one base.
type Edit struct {
	ID          string
	BaseVersion uint64
	Apply       func(body []byte) ([]byte, error)
}

// Get reads the register from a majority of voters.
type Get struct{}

// Evacuate takes all traffic from a zone, or with Restore gives it back. It fails with a register.FencedError if another order on the zone
// was taken meanwhile.
type Evacuate struct {
	ID      string
	Zone    string
	Restore bool
}

// Bootstrap bootstraps the register with the nodes named as its voters. It fails with a NameError or, where a register exists, a
// register.ConflictError.
type Bootstrap struct{ Names []string }

// ReplaceVoters makes the nodes named the voters. It fails with a NameError, or a register.ConflictError while another change is under way.
type ReplaceVoters struct {
	ID    string
	Names []string
}

// SetReplicaStates publishes what operators say of replicas. At is when they said it, in milliseconds of Unix time.
type SetReplicaStates struct {
	Rows []ReplicaState
	At   uint64
}

// Witness asks the witnesses of a request whether another router has sent it. SpareTime is the time that they may take; Peek only looks.
type Witness struct {
	Request   string
	SpareTime time.Duration
	Peek      bool
}

// SetSeeds replaces the addresses that a node contacts when it knows no other node.
type SetSeeds struct{ Addrs []string }

// SetEmbeddedRouters tells how many routers in other programs follow this node; they count as routers of the fleet.
type SetEmbeddedRouters struct{ Count int }

// Retire says that the process was told to end and will soon leave: until then it votes on, and its voter slot goes to a standby disk.
type Retire struct{}

// Leave releases the node's leases and tells its peers that it leaves the fleet.
type Leave struct{}

func (Put) op()                {}
func (Edit) op()               {}
func (Get) op()                {}
func (Evacuate) op()           {}
func (Bootstrap) op()          {}
func (ReplaceVoters) op()      {}
func (SetReplicaStates) op()   {}
func (Witness) op()            {}
func (SetEmbeddedRouters) op() {}
func (SetSeeds) op()           {}
func (Retire) op()             {}
func (Leave) op()              {}
