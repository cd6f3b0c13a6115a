package sim

import (
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

// A job is one request at an engine.
type job struct {
	parts    []prefixindex.Part
	prompt   int
	out      int
	work     time.Duration
	priority int
	// until is when it is no longer worth starting.
	until time.Duration
	// begun is called when it starts running, event for each event, from 1, late when its time was over in the queue.
	begun   func()
	event   func(n int, last bool)
	overdue func()

	seq        int
	unread     int
	reading    int
	made       int
	heldTokens int
	cached     int
	started    bool
	abandoned  bool
	joined     bool
}

func (j *job) start() {
	if !j.started {
		j.started = true
		j.begun()
	}
}
