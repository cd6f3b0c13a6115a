// Package replica models one replica that speaks the product's own interface: how many requests it serves at once, how long each takes, and
// which prefix blocks it caches. New makes a Replica from a Model, Admit admits an attempt and returns the Plan of its response, and Release
// ends it. The simulator, the lightweight fleet and the stand-in replica share it. A Replica is owned by one goroutine.
package replica

import (
	"container/list"
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

// Model describes how a replica serves: it runs Capacity requests at a time and caches CacheCapacity tokens of prefixes. The first token takes
// BaseTime, plus PerToken for each token that is not cached; both grow with utilization and while the replica warms up (for WarmupTime after
// its start). Then Chunks chunks follow, one each ChunkInterval. Its reported usage is UsageLag old.
type Model struct {
	Capacity      int
	CacheCapacity int
	BaseTime      time.Duration
	PerToken      time.Duration
	ChunkInterval time.Duration
	Chunks        int
	WarmupTime    time.Duration
	UsageLag      time.Duration
}

// DefaultModel returns the model of a replica of typical size.
func DefaultModel() Model {
	return Model{
		Capacity: 8, CacheCapacity: 65536, BaseTime: 60 * time.Millisecond, PerToken: 200 * time.Microsecond, ChunkInterval: 15 * time.Millisecond,
		Chunks: 24, WarmupTime: 6 * time.Second, UsageLag: 300 * time.Millisecond,
	}
}

// Plan is how a replica will serve an admitted request: the time to its first token, the interval between its chunks, and how many of the
// PrefixTokens were cached.
type Plan struct {
	FirstTokenTime time.Duration
	ChunkInterval  time.Duration
	Chunks         int
	CachedTokens   int
	PrefixTokens   int
}

// pendingPrompt is a prompt whose blocks enter the cache when its prefill ends at readyAt.
type pendingPrompt struct {
	readyAt time.Duration
	blocks  []prefixindex.Block
}

// sample is the number of running requests from a time on.
type sample struct {
	at      time.Duration
	running int
}

// Replica is one instance of a simulated replica with a Model. WarmupOverloads counts requests admitted above RunningLimit during warm-up.
type Replica struct {
	Model
	Instance  string
	StartedAt time.Duration
	cache     map[prefixindex.Key]*list.Element
	recency   *list.List
	// cachedNow is how many tokens are in the cache.
	cachedNow      int
	pendingPrompts []pendingPrompt
	// Running contains the ids of the admitted attempts that have not been released.
	Running map[string]bool
	history []sample

	Admitted, Rejected, WarmupOverloads uint64
	// PrefixTokens counts the tokens in the prefix blocks of admitted prompts, CachedTokens those of them that were cached.
	CachedTokens, PrefixTokens uint64
}

// New returns an instance that started at now.
func New(m Model, instance string, now time.Duration) *Replica {
	return &Replica{
		Model: m, Instance: instance, StartedAt: now, cache: map[prefixindex.Key]*list.Element{}, recency: list.New(), Running: map[string]bool{},
	}
}

// coldness returns how far the replica is from being warmed up: 1 at its start, falling to 0 at the end of its WarmupTime.
func (r *Replica) coldness(now time.Duration) float64 {
	if r.WarmupTime <= 0 || now-r.StartedAt >= r.WarmupTime {
		return 0
	}
	return 1 - float64(now-r.StartedAt)/float64(r.WarmupTime)
}

// RunningLimit returns how many requests the replica may run at now, which grows as it warms up.
func (r *Replica) RunningLimit(now time.Duration) int {
	return max(1, int(float64(r.Capacity)*(1-r.coldness(now)))) + 1
}

// finishPrefills caches the blocks of prompts whose prefill has ended, and evicts the least recently used blocks.
func (r *Replica) finishPrefills(now time.Duration) {
	i := 0
	for ; i < len(r.pendingPrompts) && r.pendingPrompts[i].readyAt <= now; i++ {
		for j := len(r.pendingPrompts[i].blocks) - 1; j >= 0; j-- {
			r.cacheBlock(r.pendingPrompts[i].blocks[j])
		}
	}
	r.pendingPrompts = r.pendingPrompts[i:]
	for r.cachedNow > r.CacheCapacity {
		e := r.recency.Back()
		p := e.Value.(prefixindex.Block)
		r.recency.Remove(e)
		delete(r.cache, p.Key)
		r.cachedNow -= p.Tokens
	}
}

func (r *Replica) cacheBlock(p prefixindex.Block) {
	if e := r.cache[p.Key]; e != nil {
		r.recency.MoveToFront(e)
		return
	}
	r.cache[p.Key] = r.recency.PushFront(p)
	r.cachedNow += p.Tokens
}

// Admit admits an attempt whose prompt consists of prefix blocks and tail further tokens; ok is false if the replica is full.
func (r *Replica) Admit(now time.Duration, attemptID string, blocks []prefixindex.Block, tail int) (p Plan, ok bool) {
	r.finishPrefills(now)
	if len(r.Running) >= r.Capacity {
		r.Rejected++
		return p, false
	}
	r.Admitted++
	cached := 0
	for _, block := range blocks {
		if r.cache[block.Key] == nil {
			break
		}
		cached += block.Tokens
		r.recency.MoveToFront(r.cache[block.Key])
	}
	total := prefixindex.Tokens(blocks)
	r.CachedTokens += uint64(cached)
	r.PrefixTokens += uint64(total)
	utilization := float64(len(r.Running)) / float64(r.Capacity)
	coldness := r.coldness(now)
	r.Running[attemptID] = true
	if coldness > 0 && len(r.Running) > r.RunningLimit(now) {
		r.WarmupOverloads++
	}
	r.recordRunning(now)
	work := r.BaseTime + time.Duration(total+tail-cached)*r.PerToken
	p = Plan{FirstTokenTime: time.Duration(float64(work) * (1 + utilization) * (1 + coldness)), ChunkInterval: r.ChunkInterval, Chunks: r.Chunks, CachedTokens: cached, PrefixTokens: total}
	at := now + p.FirstTokenTime
	i := len(r.pendingPrompts)
	for i > 0 && r.pendingPrompts[i-1].readyAt > at {
		i--
	}
	r.pendingPrompts = append(r.pendingPrompts[:i], append([]pendingPrompt{{readyAt: at, blocks: blocks}}, r.pendingPrompts[i:]...)...)
	return p, true
}

func (r *Replica) recordRunning(now time.Duration) {
	r.history = append(r.history, sample{at: now, running: len(r.Running)})
	if len(r.history) > 4096 {
		r.history = append([]sample(nil), r.history[2048:]...)
	}
}

// Release ends an attempt.
func (r *Replica) Release(now time.Duration, attemptID string) {
	if r.Running[attemptID] {
		delete(r.Running, attemptID)
		r.recordRunning(now)
	}
}

// Usage returns the number of running requests as the replica reports it, and how old that number is.
func (r *Replica) Usage(now time.Duration) (int, time.Duration) {
	for i := len(r.history) - 1; i >= 0; i-- {
		if r.history[i].at <= now-r.UsageLag {
			return r.history[i].running, r.UsageLag
		}
	}
	return 0, r.UsageLag
}
