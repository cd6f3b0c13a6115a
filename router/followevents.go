package router

// Welcome is a daemon's first event on a connection: its name, its zone and what is new at each of its starts.
type Welcome struct{ Self, Zone, Boot string }

// Numbered is an event with its place in the order, from 0 on each connection.
type Numbered struct {
	N     uint64
	Event Event
}
