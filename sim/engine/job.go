package engine

import (
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

// A Job is one request at an engine.
type Job struct {
	Blocks       []prefixindex.Block
	PromptTokens int
	OutputTokens int
	WorkTime     time.Duration
	Priority     int
	// StartBy is when it is no longer worth starting.
	StartBy time.Duration
	// OnStart is called when it starts running, event for each event, from 1, late when its time was over in the queue.
	OnStart   func()
	OnEvent   func(n int, last bool)
	OnExpired func()

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
		j.OnStart()
	}
}
