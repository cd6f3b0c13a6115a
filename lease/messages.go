package lease

// Message is what holders and grantors send each other. Their encoded forms, which older builds read, are in encoding.go.
type Message interface{ leaseMessage() }

// Request asks one grantor, named by its disk, for a role under a token, in the epoch Epoch. RequestID returns in the answer.
type Request struct {
	RequestID uint64
	Disk      string
	Role      string
	Holder    string
	Token     Token
	Epoch     uint64
}

// Grant answers a Request. If it is refused, Token and Holder are those in force.
type Grant struct {
	RequestID uint64
	Disk      string
	Role      string
	OK        bool
	Token     Token
	Holder    string
}

// Release gives a token up before its time.
type Release struct {
	Disk   string
	Role   string
	Holder string
	Token  Token
}

func (Request) leaseMessage() {}
func (Grant) leaseMessage()   {}
func (Release) leaseMessage() {}

// Send is a message for a grantor, named by its disk.
type Send struct {
	Disk string
	Msg  Message
}
