package control

import "time"

// Input is an input of Node.Step.
type Input interface{ in() }

// Received is a message from another node, of one of the types that Send may carry. Build is the build that the sender reported on its
// connection, 0 if unknown.
type Received struct {
	From  string
	Build uint32
	Msg   any
}

// Tick makes the node check its timers and do its periodic work. The caller must send several within membership.Config.PauseGap.
type Tick struct{}

// Persisted reports that the log writes up to the sequence number Seq are durable, or that writing failed with Err.
type Persisted struct {
	Seq uint64
	Err error
	// Repaired is set if the whole state was written anew after a failure.
	Repaired bool
}

// Probed is the outcome of a Probe. Local is copied from the Probe. OK reports whether the replica responded; the other fields are valid only
// then: the instance ID, its running requests, whether it is draining, and the age of these figures (Lag).
type Probed struct {
	Replica    string
	Local      bool
	OK         bool
	InstanceID string
	Running    int
	Draining   bool
	Lag        time.Duration
}

// Command is a call by an operator or by the daemon. ID links its Answer to it.
type Command struct {
	ID uint64
	Op Op
	// Deadline is the latest time at which an operator request may take effect, on the node's clock; 0 for the operation's own timeout,
	// counted from the Step.
	Deadline time.Duration
}

// Cancel reports that the client of a Command has disconnected. An operator request that has not been proposed to voters yet never will be;
// the Command is answered all the same. Other operations continue.
type Cancel struct {
	// ID is the ID of the Command.
	ID uint64
}

func (Received) in()  {}
func (Tick) in()      {}
func (Persisted) in() {}
func (Probed) in()    {}
func (Command) in()   {}
func (Cancel) in()    {}

// Op is the operation that a Command requests.
type Op interface{ op() }

// Put replaces the document if the register has version ExpectedVersion, and fails with a register.ConflictError otherwise. ID makes the
// operation idempotent.
type Put struct {
	ID              string
	ExpectedVersion uint64
	Document        []byte
}

// Edit replaces the document with the result of Apply on the current one. Apply may be called several times. BaseRevision is the operators'
// own revision that the edit was made on. If it is not the current one, Apply fails with a register.ConflictError that contains the current
// revision. An ID must always be used with the same BaseRevision.
type Edit struct {
	ID           string
	BaseRevision uint64
	Apply        func(body []byte) ([]byte, error)
}

// Get reads the register from a majority of voters.
type Get struct{}

// Evacuate removes all traffic from a zone or, with Restore, readmits it. It fails with a register.ScopeConflictError if another request
// for the zone has been applied in the meantime.
type Evacuate struct {
	ID      string
	Zone    string
	Restore bool
}

// Bootstrap creates the register with the named nodes as its voters. It fails with a NameError or, if a register exists, a
// register.ConflictError.
type Bootstrap struct{ Names []string }

// ReplaceVoters makes the named nodes the voters. It fails with a NameError, or with a register.ConflictError while another change of
// voters is in progress.
type ReplaceVoters struct {
	ID    string
	Names []string
}

// SetReplicaStates publishes the states that operators set for replicas. At is when they set them, in milliseconds of Unix time.
type SetReplicaStates struct {
	Rows []ReplicaState
	At   uint64
}

// Witness asks the witnesses of a request whether another router has sent it. SpareTime is how long they may take. With Peek, the witnesses
// remember nothing.
type Witness struct {
	Request   string
	SpareTime time.Duration
	Peek      bool
}

// SetSeeds replaces the addresses that the node contacts while it joins the fleet.
type SetSeeds struct{ Addrs []string }

// SetEmbeddedRouters sets how many routers embedded in other programs follow this node; they count as routers of the fleet.
type SetEmbeddedRouters struct{ Count int }

// Retire announces that the process was asked to terminate and will leave soon. Until then the node still votes, and its voter slot moves to
// a standby disk.
type Retire struct{}

// Leave releases the node's leases and announces to its peers that it leaves the fleet.
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
