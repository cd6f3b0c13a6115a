package membership

// Message is a message between failure detectors. Older builds read the encoded forms, which are in encoding.go.
type Message interface{ membershipMessage() }

// Ping asks the member with the given name for an Ack with the same sequence number.
type Ping struct {
	Seq  uint64
	Name string
}

// Ack answers a Ping.
type Ack struct{ Seq uint64 }

// PingFor asks a helper to ping the member with the given name and address, and to forward its Ack.
type PingFor struct {
	Seq  uint64
	Addr string
	Name string
}

func (Ping) membershipMessage()    {}
func (Ack) membershipMessage()     {}
func (PingFor) membershipMessage() {}

// Send is a message to be sent to the address To, as host:port.
type Send struct {
	To  string
	Msg Message
}
