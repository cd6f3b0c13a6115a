package lease

// Message is a message between a holder and a grantor. Older builds read the encoded forms, which are in encoding.go.
type Message interface{ leaseMessage() }

// Request asks the grantor with the given disk for a lease on a role under a token, in the given epoch of the voter set. The answer carries
// the same RequestID.
type Request struct {
	RequestID uint64
	Disk      string
	Role      string
	Holder    string
	Token     Token
	Epoch     uint64
}

// Grant answers a Request. If the request is refused, OK is false, and Token and Holder are those of the lease that the grantor last granted;
// they are empty if the refusal is because of another epoch.
type Grant struct {
	RequestID uint64
	Disk      string
	Role      string
	OK        bool
	Token     Token
	Holder    string
}

// Release ends a lease before it expires.
type Release struct {
	Disk   string
	Role   string
	Holder string
	Token  Token
}

func (Request) leaseMessage() {}
func (Grant) leaseMessage()   {}
func (Release) leaseMessage() {}

// Send is a message to be sent to the grantor with the given disk.
type Send struct {
	Disk string
	Msg  Message
}
