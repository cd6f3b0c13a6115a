package lease

// Message is what holders and grantors send each other. The names of its types and fields are part of the format between nodes.
type Message interface{ leaseMessage() }

// Request asks one grantor, named by its disk, for a duty under a token, in the epoch Seat. Rid returns in the answer.
type Request struct {
	Rid    uint64
	Disk   string
	Duty   string
	Holder string
	Mark   Token
	Seat   uint64
}

// Grant answers a Request. If it is refused, Mark and Holder are those in force.
type Grant struct {
	Rid    uint64
	Disk   string
	Duty   string
	OK     bool
	Mark   Token
	Holder string
}

// Release gives a token up before its time.
type Release struct {
	Disk   string
	Duty   string
	Holder string
	Mark   Token
}

func (Request) leaseMessage() {}
func (Grant) leaseMessage()   {}
func (Release) leaseMessage() {}

// Send is a message for a grantor, named by its disk.
type Send struct {
	Disk string
	Msg  Message
}
