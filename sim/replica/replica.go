// Package replica models one replica of the product's own interface: how many requests it serves at once, how long each takes, and what
// its prefix cache keeps. The simulator, the lightweight fleet and the stand-in replica share it. A Replica is owned by one goroutine.
package replica

import (
	"container/list"
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

// Model is how a replica serves: Capacity requests at a time, Keep tokens of prefixes in its cache; the first token takes Base and PerToken for
// each token not cached, more when it is full or warming up (for WarmupTime after its start), then Chunks come one Every so often. Its usage figures
// lag behind by UsageLag.
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

// DefaultModel is a replica of usual size.
func DefaultModel() Model {
	return Model{
		Capacity: 8, CacheCapacity: 65536, BaseTime: 60 * time.Millisecond, PerToken: 200 * time.Microsecond, ChunkInterval: 15 * time.Millisecond,
		Chunks: 24, WarmupTime: 6 * time.Second, UsageLag: 300 * time.Millisecond,
	}
}

// Plan is how a replica will serve an admitted request: the time to its first token, that between pieces, and how many of the prefix's
// Tokens were cached.
type Plan struct {
	FirstTokenTime time.Duration
	ChunkInterval  time.Duration
	Chunks         int
	CachedTokens   int
	PrefixTokens   int
}

type promptReading struct {
	at    time.Duration
	parts []prefixindex.Block
}

type sample struct {
	at time.Duration
	n  int
}

// Replica is one instance of a simulated replica by a Model. Floods counts requests admitted above what a replica that warms up bears.
type Replica struct {
	Model
	Instance  string
	StartedAt time.Duration
	kept      map[prefixindex.Key]*list.Element
	order     *list.List
	tokens    int
	prompts   []promptReading
	Running   map[string]bool
	history   []sample

	Admitted, Rejected, WarmupOverloads uint64
	CachedTokens, PrefixTokens          uint64
}

// New makes an instance that started at now.
func New(m Model, instance string, now time.Duration) *Replica {
	return &Replica{
		Model: m, Instance: instance, StartedAt: now, kept: map[prefixindex.Key]*list.Element{}, order: list.New(), Running: map[string]bool{},
	}
}

func (r *Replica) coldness(now time.Duration) float64 {
	if r.WarmupTime <= 0 || now-r.StartedAt >= r.WarmupTime {
		return 0
	}
	return 1 - float64(now-r.StartedAt)/float64(r.WarmupTime)
}

// RunningLimit is how many requests the replica may run at now, by how far it has warmed up.
func (r *Replica) RunningLimit(now time.Duration) int {
	return max(1, int(float64(r.Capacity)*(1-r.coldness(now)))) + 1
}

func (r *Replica) completeRunning(now time.Duration) {
	i := 0
	for ; i < len(r.prompts) && r.prompts[i].at <= now; i++ {
		for j := len(r.prompts[i].parts) - 1; j >= 0; j-- {
			r.keep(r.prompts[i].parts[j])
		}
	}
	r.prompts = r.prompts[i:]
	for r.tokens > r.CacheCapacity {
		e := r.order.Back()
		p := e.Value.(prefixindex.Block)
		r.order.Remove(e)
		delete(r.kept, p.Key)
		r.tokens -= p.Tokens
	}
}

func (r *Replica) keep(p prefixindex.Block) {
	if e := r.kept[p.Key]; e != nil {
		r.order.MoveToFront(e)
		return
	}
	r.kept[p.Key] = r.order.PushFront(p)
	r.tokens += p.Tokens
}

// Admit takes an attempt with its prefix's parts and the tokens after them; ok is false where the replica is full.
func (r *Replica) Admit(now time.Duration, goID string, parts []prefixindex.Block, tail int) (p Plan, ok bool) {
	r.completeRunning(now)
	if len(r.Running) >= r.Capacity {
		r.Rejected++
		return p, false
	}
	r.Admitted++
	cached := 0
	for _, part := range parts {
		if r.kept[part.Key] == nil {
			break
		}
		cached += part.Tokens
		r.order.MoveToFront(r.kept[part.Key])
	}
	total := prefixindex.Tokens(parts)
	r.CachedTokens += uint64(cached)
	r.PrefixTokens += uint64(total)
	full := float64(len(r.Running)) / float64(r.Capacity)
	slowdown := r.coldness(now)
	r.Running[goID] = true
	if slowdown > 0 && len(r.Running) > r.RunningLimit(now) {
		r.WarmupOverloads++
	}
	r.recordRunning(now)
	work := r.BaseTime + time.Duration(total+tail-cached)*r.PerToken
	p = Plan{FirstTokenTime: time.Duration(float64(work) * (1 + full) * (1 + slowdown)), ChunkInterval: r.ChunkInterval, Chunks: r.Chunks, CachedTokens: cached, PrefixTokens: total}
	at := now + p.FirstTokenTime
	i := len(r.prompts)
	for i > 0 && r.prompts[i-1].at > at {
		i--
	}
	r.prompts = append(r.prompts[:i], append([]promptReading{{at: at, parts: parts}}, r.prompts[i:]...)...)
	return p, true
}

func (r *Replica) recordRunning(now time.Duration) {
	r.history = append(r.history, sample{at: now, n: len(r.Running)})
	if len(r.history) > 4096 {
		r.history = append([]sample(nil), r.history[2048:]...)
	}
}

// Release ends an attempt.
func (r *Replica) Release(now time.Duration, goID string) {
	if r.Running[goID] {
		delete(r.Running, goID)
		r.recordRunning(now)
	}
}

// Usage is the number of running requests as the replica reports it, and by how much that lags behind.
func (r *Replica) Usage(now time.Duration) (int, time.Duration) {
	for i := len(r.history) - 1; i >= 0; i-- {
		if r.history[i].at <= now-r.UsageLag {
			return r.history[i].n, r.UsageLag
		}
	}
	return 0, r.UsageLag
}
