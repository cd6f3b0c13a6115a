package register

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// tickInterval is the time between two calls of Tick by a node. Each node starts at another time.
const tickInterval = 50 * time.Millisecond

// event is a function call at a virtual time; seq orders calls at the same time.
type event struct {
	at   time.Duration
	seq  uint64
	call func()
}

// eventQueue is a heap of the coming events.
type eventQueue []event

func (c eventQueue) Len() int { return len(c) }
func (c eventQueue) Less(i, j int) bool {
	return c[i].at < c[j].at || (c[i].at == c[j].at && c[i].seq < c[j].seq)
}
func (c eventQueue) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c *eventQueue) Push(x any)   { *c = append(*c, x.(event)) }
func (c *eventQueue) Pop() any {
	last := len(*c) - 1
	x := (*c)[last]
	*c = (*c)[:last]
	return x
}

// cluster simulates several proposers and three disks in virtual time. Messages take 0.5 to 5 ms. A sync takes 2 to 5 ms and includes all writes
// that wait for it; replies are sent in order after the sync.
type cluster struct {
	rng       *rand.Rand
	now       time.Duration
	seq       uint64
	events    eventQueue
	disks     map[string]*slowDisk
	proposers []*Proposer
	ids       uint64
	// done are the functions to call with the results of operations, by operation ID.
	done map[uint64]func(r Result)
	// frozen is a disk that gets no messages; empty for none.
	frozen string
}

// slowDisk is an acceptor whose writes take time: synced is when the last write will be synced, syncing the end of the running sync.
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
		c.after(c.randomDuration(0, tickInterval), func() { c.tick(p) })
	}
	return c
}

func (c *cluster) randomDuration(lowest, limit time.Duration) time.Duration {
	return lowest + time.Duration(c.rng.Int64N(int64(limit-lowest)))
}

func (c *cluster) linkDelay() time.Duration {
	return c.randomDuration(500*time.Microsecond, 5*time.Millisecond)
}

func (c *cluster) after(d time.Duration, call func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now + d, seq: c.seq, call: call})
}

func (c *cluster) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.call()
	}
	c.now = end
}

func (c *cluster) tick(p *Proposer) {
	c.after(tickInterval, func() { c.tick(p) })
	p.Tick(c.now)
	c.step(p)
}

// step calls the proposer's Tick, as a node does after each input, sends its messages and passes on its results.
func (c *cluster) step(p *Proposer) {
	p.Tick(c.now)
	sends, results := p.TakeOutput()
	for _, s := range sends {
		if s.Disk != c.frozen {
			c.after(c.linkDelay(), func() { c.apply(p, s) })
		}
	}
	for _, r := range results {
		done := c.done[r.ID]
		delete(c.done, r.ID)
		done(r)
	}
}

// apply lets a disk handle a request. The reply is sent when everything written until then is synced.
func (c *cluster) apply(p *Proposer, s Send) {
	d := c.disks[s.Disk]
	var reply func()
	var write bool
	switch m := s.Msg.(type) {
	case Prepare:
		var r Promise
		r, write = d.Prepare(m)
		reply = func() { p.OnPromise(c.now, r) }
	case Accept:
		var r Accepted
		r, write = d.Accept(m)
		reply = func() { p.OnAccepted(c.now, r) }
	}
	if write {
		d.write(c)
	}
	c.after(max(0, d.synced-c.now)+c.linkDelay(), func() {
		reply()
		c.step(p)
	})
}

// write starts a sync or, if one is running, joins the one that follows it.
func (d *slowDisk) write(c *cluster) {
	elapsed := c.randomDuration(2*time.Millisecond, 5*time.Millisecond)
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

// submit lets a proposer run a change. done is called with its result and its duration.
func (c *cluster) submit(p *Proposer, timeout time.Duration, urgent bool, done func(r Result, elapsed time.Duration)) {
	c.ids++
	submitted, id := c.now, c.ids
	c.done[id] = func(r Result) { done(r, c.now-submitted) }
	change := raiseVersion(orderID(id))
	if urgent {
		p.SubmitUrgent(c.now, c.now+timeout, id, change)
	} else {
		p.Submit(c.now, c.now+timeout, id, change)
	}
	c.step(p)
}

// orderID returns the id under which a submitted change is logged.
func orderID(id uint64) string { return fmt.Sprint(id) }

// raiseVersion returns a change that applies to every value, unless it was applied already.
func raiseVersion(text string) Change {
	return func(cur *Value) (*Value, error) {
		if _, done := cur.AppliedAt(text); done {
			return nil, nil
		}
		cur.Version++
		cur.LogUnscoped(text)
		return cur, nil
	}
}

// keepBusy submits changes to a proposer, each as soon as the one before has ended.
func (c *cluster) keepBusy(p *Proposer) {
	c.submit(p, 4*time.Second, false, func(Result, time.Duration) { c.after(c.linkDelay(), func() { c.keepBusy(p) }) })
}

// quantile sorts the times and returns the one that the given ratio of them do not exceed.
func quantile(times []time.Duration, ratio float64) time.Duration {
	slices.Sort(times)
	return times[min(len(times)-1, int(ratio*float64(len(times))))]
}

// report logs the quantiles of the times.
func report(t *testing.T, description string, times []time.Duration) {
	t.Helper()
	t.Logf("%s: %d runs, median %v, 90th percentile %v, 99th percentile %v, longest %v", description, len(times), quantile(times, 0.5).Round(time.Millisecond),
		quantile(times, 0.9).Round(time.Millisecond), quantile(times, 0.99).Round(time.Millisecond), quantile(times, 1).Round(time.Millisecond))
}
