package membership

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	fleetSize  = 9
	fleetZones = 3
	fleetTick  = 50 * time.Millisecond
	maxDelay   = 40 * time.Millisecond
	// maxGossipDelay is the longest time that simulated gossip takes to reach a member.
	maxGossipDelay = 400 * time.Millisecond
)

// envelope is a message or a gossip item in the network.
type envelope struct {
	from, to string
	due      time.Duration
	msg      Message
	// row is the member that gossip carries; it counts only if msg is nil.
	row Member
}

// fleet simulates detectors and a network that delays and loses messages, in virtual time. Gossip takes up to maxGossipDelay and is not lost between
// connected members, since anti-entropy repairs losses.
type fleet struct {
	rng      *rand.Rand
	now      time.Duration
	names    []string
	all      map[string]*Detector
	inFlight []envelope
	loss     float64
	// stopped members neither send nor receive. Paused ones do nothing; messages to them are lost, and gossip reaches them when they resume.
	stopped, paused map[string]bool
	// partitioned reports whether messages from one member to another are lost. If cutsGossip is set, gossip is lost as well.
	partitioned func(from, to string) bool
	cutsGossip  bool
	// declaredDead counts, by dead member, how many members declared it dead or learned that it is.
	declaredDead map[string]int
}

// newFleet returns a fleet whose members know each other. loss is the probability that a message is lost.
func newFleet(cfg Config, seed uint64, loss float64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 3)), all: map[string]*Detector{}, loss: loss, stopped: map[string]bool{}, paused: map[string]bool{}, declaredDead: map[string]int{}}
	var rows []Member
	for at := range fleetSize {
		name := fmt.Sprint("n", at)
		rows = append(rows, Member{Name: name, Addr: name, Zone: fmt.Sprint("z", at%fleetZones)})
		f.names = append(f.names, name)
	}
	for at, row := range rows {
		d := New(cfg, row, seed*fleetSize+uint64(at), 0)
		for _, other := range rows {
			d.Merge(0, other)
		}
		d.TakeChanges()
		f.all[row.Name] = d
	}
	return f
}

func (f *fleet) send(from string, sends []Send) {
	for _, s := range sends {
		if f.rng.Float64() >= f.loss {
			f.inFlight = append(f.inFlight, envelope{from: from, to: s.To, due: f.now + f.randomUpTo(maxDelay), msg: s.Msg})
		}
	}
}

func (f *fleet) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(limit)))
}

// gossip spreads the changes that a member made or learned to all others.
func (f *fleet) gossip(from string) {
	for _, row := range f.all[from].TakeChanges() {
		if row.State == Dead {
			f.declaredDead[row.Name]++
		}
		for _, to := range f.names {
			if to != from {
				f.inFlight = append(f.inFlight, envelope{from: from, to: to, due: f.now + f.randomUpTo(maxGossipDelay), row: row})
			}
		}
	}
}

func (f *fleet) deliver(e envelope) {
	d := f.all[e.to]
	switch msg := e.msg.(type) {
	case Ping:
		f.send(e.to, d.OnPing(e.from, msg))
	case Ack:
		f.send(e.to, d.OnAck(f.now, msg))
	case PingFor:
		f.send(e.to, d.OnPingFor(f.now, e.from, msg))
	default:
		if old, ok := d.Table.Get(e.row.Name); !ok || e.row.Newer(old) || e.row.Name == e.to {
			d.Merge(f.now, e.row)
		}
	}
}

// step advances time by one tick, delivers what is due and ticks all members that run.
func (f *fleet) step() {
	f.now += fleetTick
	inFlight := f.inFlight
	f.inFlight = nil
	for _, e := range inFlight {
		switch {
		case f.stopped[e.to] || f.stopped[e.from]:
		case f.partitioned != nil && f.partitioned(e.from, e.to) && (f.cutsGossip || e.msg != nil):
		case f.paused[e.to] && e.msg != nil:
		case e.due > f.now || f.paused[e.to]:
			f.inFlight = append(f.inFlight, e)
		default:
			f.deliver(e)
		}
	}
	for _, name := range f.names {
		if !f.stopped[name] && !f.paused[name] {
			f.send(name, f.all[name].Tick(f.now))
			f.gossip(name)
		}
	}
}

func (f *fleet) run(d time.Duration) {
	for until := f.now + d; f.now < until; {
		f.step()
	}
}

// state returns the state of a member in the table of another.
func (f *fleet) state(by, of string) State {
	m, _ := f.all[by].Table.Get(of)
	return m.State
}
