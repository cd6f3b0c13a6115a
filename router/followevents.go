package router

// Welcome is a daemon's first event on a connection: its name, its zone and what is new at each of its starts.
type Welcome struct{ Self, Zone, BootID string }

// NumberedEvent is an event with its place in the order, from 0 on each connection.
type NumberedEvent struct {
	Seq   uint64
	Event Event
}
