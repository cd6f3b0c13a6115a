package rehearsal

import (
	"io"
	"time"
)

// Options configures a rehearsal of any kind.
type Options struct {
	// Dir is the directory for the settings, disks and logs of the nodes. Binary is the path of the program that they run.
	Dir, Binary string
	// Seed seeds the generators of the faults, their times, the changes of the configuration, and the requests.
	Seed uint64
	// Duration is how long clients send requests.
	Duration                 time.Duration
	Nodes, Replicas, Clients int
	// Ledger receives a JSON line for each request that a replica started to run, and for each response that is checked.
	Ledger io.Writer
}
