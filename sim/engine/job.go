package engine

import (
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

// Job is one request at an engine.
type Job struct {
	// Blocks are the prefix blocks of the prompt.
	Blocks []prefixindex.Block
	// PromptTokens and OutputTokens are the lengths of the prompt and of the generated output.
	PromptTokens int
	OutputTokens int
	// WorkTime is how long the job takes on a replica that generates no tokens.
	WorkTime time.Duration
	// Priority orders the queue; lower numbers run first.
	Priority int
	// StartBy is the virtual time from which on the job is no longer started; 0 means no limit.
	StartBy time.Duration
	// OnStart is called when the job yields its first token or starts its work, OnEvent for each event of its response, numbered from 1, and
	// OnExpired when StartBy passed in the queue.
	OnStart   func()
	OnEvent   func(n int, last bool)
	OnExpired func()

	seq int
	// prefillLeft is how many tokens are still to be prefilled, prefillNow how many of them the current step prefills.
	prefillLeft int
	prefillNow  int
	// generated counts output tokens.
	generated int
	// heldTokens is the KV cache memory that the job occupies while it runs.
	heldTokens   int
	cachedTokens int
	started      bool
	// finished is set when the job is completed, cancelled or expired.
	finished bool
	// counted is set once the job's prompt is included in the engine's PromptTokens and CachedTokens.
	counted bool
}

func (j *Job) start() {
	if !j.started {
		j.started = true
		j.OnStart()
	}
}
