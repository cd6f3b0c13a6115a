package engine

import (
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

// A Job is one request at an engine.
type Job struct {
	Parts    []prefixindex.Block
	Prompt   int
	Out      int
	Work     time.Duration
	Priority int
	// Until is when it is no longer worth starting.
	Until time.Duration
	// Begun is called when it starts running, event for each event, from 1, late when its time was over in the queue.
	Begun   func()
	Event   func(n int, last bool)
	Overdue func()

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

func (j *Job) start() {
	if !j.started {
		j.started = true
		j.Begun()
	}
}
