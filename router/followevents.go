package router

// Welcome is the first event that a daemon sends on a connection: its name, its zone and an ID that is new at each of its starts.
type Welcome struct{ Self, Zone, BootID string }

// NumberedEvent is an event with its sequence number on the connection, which starts at 0.
type NumberedEvent struct {
	Seq   uint64
	Event Event
}
