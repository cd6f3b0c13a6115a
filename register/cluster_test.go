package register

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// ticks is how often a node lets its proposer act on time, each at a phase of its own.
const ticks = 50 * time.Millisecond

type happening struct {
	at  time.Duration
	seq uint64
	do  func()
}

type calendar []happening

func (c calendar) Len() int { return len(c) }
func (c calendar) Less(i, j int) bool {
	return c[i].at < c[j].at || (c[i].at == c[j].at && c[i].seq < c[j].seq)
}
func (c calendar) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c *calendar) Push(x any)   { *c = append(*c, x.(happening)) }
func (c *calendar) Pop() any {
	last := len(*c) - 1
	x := (*c)[last]
	*c = (*c)[:last]
	return x
}

// A crowd is several proposers over three disks in virtual time: links of 0.5 to 5 ms, syncs of 2 to 5 ms that take whatever waits
// together, answers that leave in order behind them.
type cluster struct {
	rng       *rand.Rand
	now       time.Duration
	seq       uint64
	coming    calendar
	disks     map[string]*slowDisk
	proposers []*Proposer
	ids       uint64
	done      map[uint64]func(r Result)
	frozen    string
}

// A slowDisk votes; synced is when what was written last is on disk, syncing the end of the sync that runs.
type slowDisk struct {
	Acceptor
	syncing, synced time.Duration
}

func newCluster(seed uint64, proposers int) *cluster {
	c := &cluster{rng: rand.New(rand.NewPCG(seed, 11)), disks: map[string]*slowDisk{}, done: map[uint64]func(r Result){}}
	first := &Value{Fleet: "f"}
	for _, disk := range []string{"a", "b", "c"} {
		c.disks[disk] = &slowDisk{Acceptor: Acceptor{State{Disk: disk}}}
		first.Voters = append(first.Voters, Voter{Disk: disk})
	}
	for _, d := range c.disks {
		d.Accept(Accept{Disk: d.Disk, Ballot: Ballot{N: 1, By: "founder"}, Value: first})
	}
	for at := range proposers {
		p := NewProposer(fmt.Sprintf("p%d", at), seed<<8+uint64(at))
		p.LearnChosen(first)
		c.proposers = append(c.proposers, p)
		c.after(c.between(0, ticks), func() { c.tick(p) })
	}
	return c
}

func (c *cluster) between(least, most time.Duration) time.Duration {
	return least + time.Duration(c.rng.Int64N(int64(most-least)))
}

func (c *cluster) link() time.Duration { return c.between(500*time.Microsecond, 5*time.Millisecond) }

func (c *cluster) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.coming, happening{at: c.now + d, seq: c.seq, do: do})
}

func (c *cluster) runUntil(end time.Duration) {
	for len(c.coming) > 0 && c.coming[0].at <= end {
		next := heap.Pop(&c.coming).(happening)
		c.now = next.at
		next.do()
	}
	c.now = end
}

func (c *cluster) tick(p *Proposer) {
	c.after(ticks, func() { c.tick(p) })
	p.Tick(c.now)
	c.carry(p)
}

// carry has the proposer act on what is due, as a node does at each input, and posts what it sends.
func (c *cluster) carry(p *Proposer) {
	p.Tick(c.now)
	sends, results := p.TakeOutput()
	for _, s := range sends {
		if s.Disk != c.frozen {
			c.after(c.link(), func() { c.apply(p, s) })
		}
	}
	for _, r := range results {
		done := c.done[r.ID]
		delete(c.done, r.ID)
		done(r)
	}
}

// apply has a disk handle a request, and answer when all that was written until then is synced.
func (c *cluster) apply(p *Proposer, s Send) {
	d := c.disks[s.Disk]
	var answer func()
	var write bool
	switch m := s.Msg.(type) {
	case Prepare:
		var r Promise
		r, write = d.Prepare(m)
		answer = func() { p.OnPromise(c.now, r) }
	case Accept:
		var r Accepted
		r, write = d.Accept(m)
		answer = func() { p.OnAccepted(c.now, r) }
	}
	if write {
		d.write(c)
	}
	c.after(max(0, d.synced-c.now)+c.link(), func() {
		answer()
		c.carry(p)
	})
}

// write starts a sync, or joins the one that follows the one that runs.
func (d *slowDisk) write(c *cluster) {
	elapsed := c.between(2*time.Millisecond, 5*time.Millisecond)
	if c.now >= d.syncing {
		d.syncing = d.synced
	}
	switch {
	case c.now >= d.synced:
		d.syncing, d.synced = c.now+elapsed, c.now+elapsed
	case d.synced == d.syncing:
		d.synced = d.syncing + elapsed
	}
}

// submit has a proposer run a change; done is called with its result and with how long it took.
func (c *cluster) submit(p *Proposer, within time.Duration, urgent bool, done func(r Result, elapsed time.Duration)) {
	c.ids++
	begun, id := c.now, c.ids
	c.done[id] = func(r Result) { done(r, c.now-begun) }
	change := raise(orderName(id))
	if urgent {
		p.SubmitUrgent(c.now, c.now+within, id, change)
	} else {
		p.Submit(c.now, c.now+within, id, change)
	}
	c.carry(p)
}

// orderName is the id under which a submitted change is logged.
func orderName(id uint64) string { return fmt.Sprint(id) }

// raise is a change that any value bears.
func raise(text string) Change {
	return func(cur *Value) (*Value, error) {
		if _, done := cur.AppliedAt(text); done {
			return nil, nil
		}
		cur.Version++
		cur.LogUnscoped(text)
		return cur, nil
	}
}

// load keeps a proposer busy: its next order follows the last one at once.
func (c *cluster) load(p *Proposer) {
	c.submit(p, 4*time.Second, false, func(Result, time.Duration) { c.after(c.link(), func() { c.load(p) }) })
}

// quantile sorts the times and gives the one below which the share lies.
func quantile(times []time.Duration, ratio float64) time.Duration {
	slices.Sort(times)
	return times[min(len(times)-1, int(ratio*float64(len(times))))]
}

func report(t *testing.T, what string, times []time.Duration) {
	t.Helper()
	t.Logf("%s: %d runs, median %v, 90th %v, 99th %v, longest %v", what, len(times), quantile(times, 0.5).Round(time.Millisecond),
		quantile(times, 0.9).Round(time.Millisecond), quantile(times, 0.99).Round(time.Millisecond), quantile(times, 1).Round(time.Millisecond))
}
