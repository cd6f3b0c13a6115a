package membership

// Message is what failure detectors send each other. Their encoded forms, which older builds read, are in encoding.go.
type Message interface{ membershipMessage() }

// Ping asks the member of that name for an Ack of the same number.
type Ping struct {
	Seq  uint64
	Name string
}

// Ack answers a Ping.
type Ack struct{ Seq uint64 }

// PingFor asks a helper to ping the member of that name and address, and to pass on its Ack.
type PingFor struct {
	Seq  uint64
	Addr string
	Name string
}

func (Ping) membershipMessage()    {}
func (Ack) membershipMessage()     {}
func (PingFor) membershipMessage() {}

// Send is a message for the node at an address, host:port.
type Send struct {
	To  string
	Msg Message
}
