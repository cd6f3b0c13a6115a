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
	mostDelay  = 40 * time.Millisecond
	// spreadIn is how long gossip takes to tell everybody of a change, here at most.
	spreadIn = 400 * time.Millisecond
)

type envelope struct {
	from, to string
	due      time.Duration
	msg      Message
	// row is a member that gossip brings, where there is no message.
	row Member
}

// fleet is some detectors and a network that delays and loses, in virtual time. Gossip loses nothing between those who are connected,
// for digests repair it, but takes up to spreadIn.
type fleet struct {
	rng   *rand.Rand
	now   time.Duration
	names []string
	all   map[string]*Detector
	mail  []envelope
	loss  float64
	// gone members neither send nor receive, paused ones do nothing and lose what they are sent but for gossip.
	gone, paused map[string]bool
	// partitioned tells which pings and answers are lost, and gossip too where isolated is set.
	partitioned func(from, to string) bool
	isolated    bool
	// declared are the members that somebody declared dead, by name.
	declared map[string]int
}

func newFleet(cfg Config, seed uint64, loss float64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 3)), all: map[string]*Detector{}, loss: loss, gone: map[string]bool{}, paused: map[string]bool{}, declared: map[string]int{}}
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

func (f *fleet) post(from string, sends []Send) {
	for _, s := range sends {
		if f.rng.Float64() >= f.loss {
			f.mail = append(f.mail, envelope{from: from, to: s.To, due: f.now + f.upTo(mostDelay), msg: s.Msg})
		}
	}
}

func (f *fleet) upTo(most time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(most)))
}

func (f *fleet) gossip(from string) {
	for _, row := range f.all[from].TakeChanges() {
		if row.State == Dead {
			f.declared[row.Name]++
		}
		for _, to := range f.names {
			if to != from {
				f.mail = append(f.mail, envelope{from: from, to: to, due: f.now + f.upTo(spreadIn), row: row})
			}
		}
	}
}

func (f *fleet) deliver(l envelope) {
	d := f.all[l.to]
	switch msg := l.msg.(type) {
	case Ping:
		f.post(l.to, d.OnPing(l.from, msg))
	case Ack:
		f.post(l.to, d.OnAck(f.now, msg))
	case PingFor:
		f.post(l.to, d.OnPingFor(f.now, l.from, msg))
	default:
		if old, ok := d.Table.Get(l.row.Name); !ok || l.row.Newer(old) || l.row.Name == l.to {
			d.Merge(f.now, l.row)
		}
	}
}

func (f *fleet) step() {
	f.now += fleetTick
	mail := f.mail
	f.mail = nil
	for _, l := range mail {
		switch {
		case f.gone[l.to] || f.gone[l.from]:
		case f.partitioned != nil && f.partitioned(l.from, l.to) && (f.isolated || l.msg != nil):
		case f.paused[l.to] && l.msg != nil:
		case l.due > f.now || f.paused[l.to]:
			f.mail = append(f.mail, l)
		default:
			f.deliver(l)
		}
	}
	for _, name := range f.names {
		if !f.gone[name] && !f.paused[name] {
			f.post(name, f.all[name].Tick(f.now))
			f.gossip(name)
		}
	}
}

func (f *fleet) run(d time.Duration) {
	for until := f.now + d; f.now < until; {
		f.step()
	}
}

// state is what one member holds another to be.
func (f *fleet) state(by, of string) State {
	m, _ := f.all[by].Table.Get(of)
	return m.State
}
