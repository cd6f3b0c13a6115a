package sim

import (
	"container/list"
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

type Model struct {
	Room     int
	Keep     int
	Base     time.Duration
	PerToken time.Duration
	Every    time.Duration
	Pieces   int
	ColdFor  time.Duration
	UsageLag time.Duration
}

func DefaultModel() (m Model) {
	return Model{
		Room: 8, Keep: 65536, Base: 60 * time.Millisecond, PerToken: 200 * time.Microsecond, Every: 15 * time.Millisecond,
		Pieces: 24, ColdFor: 6 * time.Second, UsageLag: 300 * time.Millisecond,
	}
}

type Plan struct {
	First  time.Duration
	Every  time.Duration
	Pieces int
	Cached int
	Tokens int
}

type reading struct {
	at    time.Duration
	parts []prefixindex.Part
}

type sample struct {
	at time.Duration
	n  int
}

type Replica struct {
	Model
	Instance string
	born     time.Duration
	kept     map[prefixindex.Key]*list.Element
	order    *list.List
	tokens   int
	reading  []reading
	running  map[string]bool
	history  []sample

	Admitted, Refused, Floods  uint64
	CachedTokens, PrefixTokens uint64
}

func NewReplica(m Model, instance string, now time.Duration) (r *Replica) {
	return &Replica{
		Model: m, Instance: instance, born: now, kept: map[prefixindex.Key]*list.Element{}, order: list.New(), running: map[string]bool{},
	}
}

func (r *Replica) coldness(now time.Duration) (c float64) {
	if r.ColdFor <= 0 || now-r.born >= r.ColdFor {
		return 0
	}
	return 1 - float64(now-r.born)/float64(r.ColdFor)
}

func (r *Replica) Bears(now time.Duration) (n int) {
	return max(1, int(float64(r.Room)*(1-r.coldness(now)))) + 1
}

func (r *Replica) settle(now time.Duration) {
	i := 0
	for ; i < len(r.reading) && r.reading[i].at <= now; i++ {
		for j := len(r.reading[i].parts) - 1; j >= 0; j-- {
			r.keep(r.reading[i].parts[j])
		}
	}
	r.reading = r.reading[i:]
	for r.tokens > r.Keep {
		e := r.order.Back()
		p := e.Value.(prefixindex.Part)
		r.order.Remove(e)
		delete(r.kept, p.Key)
		r.tokens -= p.Tokens
	}
}

func (r *Replica) keep(p prefixindex.Part) {
	if e := r.kept[p.Key]; e != nil {
		r.order.MoveToFront(e)
		return
	}
	r.kept[p.Key] = r.order.PushFront(p)
	r.tokens += p.Tokens
}

func (r *Replica) Admit(now time.Duration, goID string, parts []prefixindex.Part, tail int) (p Plan, ok bool) {
	r.settle(now)
	if len(r.running) >= r.Room {
		r.Refused++
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
	full := float64(len(r.running)) / float64(r.Room)
	cold := r.coldness(now)
	r.running[goID] = true
	if cold > 0 && len(r.running) > r.Bears(now) {
		r.Floods++
	}
	r.note(now)
	work := r.Base + time.Duration(total+tail-cached)*r.PerToken
	p = Plan{First: time.Duration(float64(work) * (1 + full) * (1 + cold)), Every: r.Every, Pieces: r.Pieces, Cached: cached, Tokens: total}
	at := now + p.First
	i := len(r.reading)
	for i > 0 && r.reading[i-1].at > at {
		i--
	}
	r.reading = append(r.reading[:i], append([]reading{{at: at, parts: parts}}, r.reading[i:]...)...)
	return p, true
}

func (r *Replica) note(now time.Duration) {
	r.history = append(r.history, sample{at: now, n: len(r.running)})
	if len(r.history) > 4096 {
		r.history = append([]sample(nil), r.history[2048:]...)
	}
}

func (r *Replica) Release(now time.Duration, goID string) {
	if r.running[goID] {
		delete(r.running, goID)
		r.note(now)
	}
}

func (r *Replica) Usage(now time.Duration) (running int, lag time.Duration) {
	for i := len(r.history) - 1; i >= 0; i-- {
		if r.history[i].at <= now-r.UsageLag {
			return r.history[i].n, r.UsageLag
		}
	}
	return 0, r.UsageLag
}
