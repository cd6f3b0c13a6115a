package control

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/register"
)

// The grown shapes take minutes and are played from ten seeds on.
var refillSeeds = flag.Int("refill", 2, "seeds a shape and kind of loss in TestVoterSetIsRepairedBeforeTheNextLoss; grown shapes from 10 on")

// A fleetShape is a deployment: so many nodes over zones, of which the first disks have one.
type fleetShape struct {
	name                          string
	nodes, zones, disks, tolerate int
	// within is the bound after which a loss no longer counts.
	within time.Duration
}

var fleetShapes = []fleetShape{
	{"tramites", 11, 3, 3, 1, 4 * time.Second}, {"atlas", 12, 4, 4, 1, 4 * time.Second},
	{"grown tramites", 88, 3, 6, 2, 6 * time.Second}, {"grown atlas", 72, 5, 5, 2, 6 * time.Second},
}

// A refill is one loss of a voter, and what is done until its voter slot is taken.
type refill struct {
	*lab
	shape  fleetShape
	rng    *rand.Rand
	victim string
	writes int
}

func newRefill(t *testing.T, shape fleetShape, seed uint64) *refill {
	r := &refill{lab: newSizedLab(t, shape, seed+1), shape: shape, rng: rand.New(rand.NewPCG(seed, 5))}
	r.run(8 * time.Second)
	if _, full := r.full(); !full {
		t.Fatalf("%s, seed %d: never full at first", shape.name, seed)
	}
	r.change()
	r.run(time.Duration(r.rng.Int64N(int64(time.Second)/1e6)) * time.Millisecond)
	voters := r.latest().Voters
	r.victim = voters[r.rng.IntN(len(voters))].Name
	return r
}

// latest is the newest value that a node in touch knows to be chosen.
func (r *refill) latest() *register.Value {
	var v *register.Value
	for _, name := range r.order {
		if known := r.nodes[name].Value(); !r.down[name] && known.Newer(v) {
			v = known
		}
	}
	return v
}

// change has a node without a disk write the document anew.
func (r *refill) change() {
	r.writes++
	if a := r.write(r.order[r.shape.nodes-1], fmt.Sprint("w", r.writes)); a.Err != nil {
		r.t.Fatalf("%s: change %d: %v", r.shape.name, r.writes, a.Err)
	}
}

// full says whether as many voters as there should be are in touch, mean to stay and hold the newest value; and who does not.
func (r *refill) full() (string, bool) {
	v := r.latest()
	if v == nil || len(v.NextVoters) > 0 || len(v.Voters) != 2*r.shape.tolerate+1 {
		return "voters change", false
	}
	for _, voter := range v.Voters {
		n := r.nodes[voter.Name]
		switch {
		case r.down[voter.Name] || n.acceptor == nil || n.acceptor.Disk != voter.Disk:
			return voter.Name + " is away", false
		case n.Members.Self.Retiring || n.Members.Self.State == membership.Left:
			return voter.Name + " leaves", false
		case v.Newer(n.acceptor.Value):
			return voter.Name + " is behind", false
		}
	}
	return "", true
}

// until runs until the set is full, and changes the document every so often.
func (r *refill) until(most time.Duration) time.Duration {
	from := r.now
	for r.now-from < most {
		if _, yes := r.full(); yes {
			return r.now - from
		}
		r.run(10 * time.Millisecond)
	}
	why, _ := r.full()
	r.t.Errorf("%s, %s lost: not full after %s: %s, %v", r.shape.name, r.victim, most, why, r.latest().Voters)
	return most
}

func (r *refill) arrive() string {
	name := fmt.Sprint("n", len(r.order))
	r.order = append(r.order, name)
	r.ids++
	r.disks[name] = fmt.Sprint("disk-", name, "-", r.ids)
	r.boot(name, false)
	return name
}

// next strikes as many voters as may be lost at once, with their disks, and reads back what was acknowledged.
func (r *refill) next() {
	voters := r.latest().Voters
	for _, at := range r.rng.Perm(len(voters))[:r.shape.tolerate] {
		r.wipe(voters[at].Name)
	}
	reader := r.order[r.shape.nodes-2]
	r.run(time.Second)
	if got := r.read(reader); got != fmt.Sprint("w", r.writes) {
		r.t.Errorf("%s, %s lost, then %d more: reads %q, want w%d", r.shape.name, r.victim, r.shape.tolerate, got, r.writes)
	}
}

const (
	awayFor  = time.Second
	saidByes = 4800 * time.Millisecond
)

// losses are the kinds of loss; each returns how long the set was not full, counted from the return of the machine, from the arrival
// of another, or from the warning.
var losses = []voterLoss{
	{"back empty", func(r *refill) time.Duration {
		r.wipe(r.victim)
		r.run(awayFor)
		r.boot(r.victim, false)
		return r.until(r.shape.within)
	}},
	{"gone, another comes", func(r *refill) time.Duration {
		r.down[r.victim] = true
		r.run(awayFor)
		r.change()
		r.arrive()
		return r.until(r.shape.within)
	}},
	{"another comes, then SIGTERM", func(r *refill) time.Duration {
		r.arrive()
		r.run(awayFor)
		return r.stop()
	}},
	{"SIGTERM, for good", func(r *refill) time.Duration { return r.stop() }},
}

// stop warns the victim, which leaves after a while, and returns when it has gone.
func (r *refill) stop() time.Duration {
	r.call(r.victim, Retire{})
	from := r.now
	var elapsed time.Duration
	if r.spares() > 0 {
		elapsed = r.until(saidByes)
	}
	r.change()
	r.run(from + saidByes - r.now)
	r.call(r.victim, Leave{})
	r.run(50 * time.Millisecond)
	r.down[r.victim] = true
	return elapsed
}

func (r *refill) spares() int {
	var count int
	for name, disk := range r.disks {
		if !isVoter(r.latest().Voters, disk) && !r.down[name] {
			count++
		}
	}
	return count
}

func TestVoterSetIsRepairedBeforeTheNextLoss(t *testing.T) {
	for _, shape := range fleetShapes {
		if shape.nodes > 20 && *refillSeeds < 10 {
			continue
		}
		for _, loss := range losses {
			loss.playAll(t, shape)
		}
	}
}

// voterLoss is a kind of loss of a voter.
type voterLoss struct {
	name string
	play func(r *refill) time.Duration
}

// playAll plays a loss with each seed, followed by another one, and logs how long the set was not complete.
func (l voterLoss) playAll(t *testing.T, shape fleetShape) {
	t.Helper()
	var elapsed []time.Duration
	for seed := range uint64(*refillSeeds) {
		r := newRefill(t, shape, seed)
		if l.name == "SIGTERM, for good" && r.spares() == 0 {
			continue
		}
		elapsed = append(elapsed, l.play(r))
		r.next()
	}
	if len(elapsed) == 0 {
		return
	}
	slices.Sort(elapsed)
	t.Logf("%-15s %-28s %d seeds: half within %4d ms, all within %4d ms", shape.name, l.name, len(elapsed),
		elapsed[len(elapsed)/2].Milliseconds(), elapsed[len(elapsed)-1].Milliseconds())
}
