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

// The grown shapes take minutes and run only with ten seeds or more.
var voterLossSeeds = flag.Int("refill", 2, "seeds a shape and kind of loss in TestVoterSetIsRepairedBeforeTheNextLoss; grown shapes from 10 on")

// fleetShape is a deployment: nodes are spread over the zones, and the first disks of them have a disk. tolerate is the fault tolerance.
type fleetShape struct {
	name                          string
	nodes, zones, disks, tolerate int
	// within is the time within which the voter set must be complete after a loss.
	within time.Duration
}

var fleetShapes = []fleetShape{
	{"tramites", 11, 3, 3, 1, 4 * time.Second}, {"atlas", 12, 4, 4, 1, 4 * time.Second},
	{"grown tramites", 88, 3, 6, 2, 6 * time.Second}, {"grown atlas", 72, 5, 5, 2, 6 * time.Second},
}

// voterLossRun is one loss of a voter and its repair, until the voter slot is filled.
type voterLossRun struct {
	*lab
	shape  fleetShape
	rng    *rand.Rand
	victim string
	writes int
}

func newVoterLossRun(t *testing.T, shape fleetShape, seed uint64) *voterLossRun {
	r := &voterLossRun{lab: newSizedLab(t, shape, seed+1), shape: shape, rng: rand.New(rand.NewPCG(seed, 5))}
	r.run(8 * time.Second)
	if _, full := r.full(); !full {
		t.Fatalf("%s, seed %d: the voter set was never full before the loss", shape.name, seed)
	}
	r.changeDocument()
	r.run(time.Duration(r.rng.Int64N(int64(time.Second)/1e6)) * time.Millisecond)
	voters := r.latest().Voters
	r.victim = voters[r.rng.IntN(len(voters))].Name
	return r
}

// latest returns the newest value that a running node knows to be chosen.
func (r *voterLossRun) latest() *register.Value {
	var v *register.Value
	for _, name := range r.order {
		if known := r.nodes[name].Value(); !r.down[name] && known.Newer(v) {
			v = known
		}
	}
	return v
}

// changeDocument writes a new document through a node without a disk.
func (r *voterLossRun) changeDocument() {
	r.writes++
	if a := r.write(r.order[r.shape.nodes-1], fmt.Sprint("w", r.writes)); a.Err != nil {
		r.t.Fatalf("%s: change %d: %v", r.shape.name, r.writes, a.Err)
	}
}

// full reports whether the voter set has its full size and all voters are running, not leaving and up to date; if not, it returns the
// reason.
func (r *voterLossRun) full() (string, bool) {
	v := r.latest()
	if v == nil || len(v.NextVoters) > 0 || len(v.Voters) != 2*r.shape.tolerate+1 {
		return "the voters are changing", false
	}
	for _, voter := range v.Voters {
		n := r.nodes[voter.Name]
		switch {
		case r.down[voter.Name] || n.acceptor == nil || n.acceptor.Disk != voter.Disk:
			return voter.Name + " is down", false
		case n.Members.Self.Retiring || n.Members.Self.State == membership.Left:
			return voter.Name + " is leaving", false
		case v.Newer(n.acceptor.Value):
			return voter.Name + " is behind", false
		}
	}
	return "", true
}

// untilFull runs until the voter set is full and returns the time that took.
func (r *voterLossRun) untilFull(within time.Duration) time.Duration {
	from := r.now
	for r.now-from < within {
		if _, yes := r.full(); yes {
			return r.now - from
		}
		r.run(10 * time.Millisecond)
	}
	why, _ := r.full()
	r.t.Errorf("%s, %s lost: voter set not full after %s: %s, %v", r.shape.name, r.victim, within, why, r.latest().Voters)
	return within
}

// addMachine starts another machine, with an empty disk, and returns its name.
func (l *lab) addMachine() string {
	name := fmt.Sprint("n", len(l.order))
	l.order = append(l.order, name)
	l.ids++
	l.disks[name] = fmt.Sprint("disk-", name, "-", l.ids)
	l.boot(name, false)
	return name
}

// loseMore stops as many random voters as may be lost at once, with their disks, and reads back the last acknowledged document.
func (r *voterLossRun) loseMore() {
	voters := r.latest().Voters
	for _, at := range r.rng.Perm(len(voters))[:r.shape.tolerate] {
		r.wipe(voters[at].Name)
	}
	reader := r.order[r.shape.nodes-2]
	r.run(time.Second)
	if got := r.read(reader); got != fmt.Sprint("w", r.writes) {
		r.t.Errorf("%s, %s lost, then %d more: read %q, want w%d", r.shape.name, r.victim, r.shape.tolerate, got, r.writes)
	}
}

const (
	downTime    = time.Second
	warningTime = 4800 * time.Millisecond
)

// losses are the kinds of loss. Each returns how long the voter set was not full, counted from the return of the machine, from the arrival
// of another, or from the warning.
var losses = []voterLoss{
	{"back empty", func(r *voterLossRun) time.Duration {
		r.wipe(r.victim)
		r.run(downTime)
		r.boot(r.victim, false)
		return r.untilFull(r.shape.within)
	}},
	{"gone, another comes", func(r *voterLossRun) time.Duration {
		r.down[r.victim] = true
		r.run(downTime)
		r.changeDocument()
		r.addMachine()
		return r.untilFull(r.shape.within)
	}},
	{"another comes, then SIGTERM", func(r *voterLossRun) time.Duration {
		r.addMachine()
		r.run(downTime)
		return r.stopVictim()
	}},
	{"SIGTERM, for good", func(r *voterLossRun) time.Duration { return r.stopVictim() }},
}

// stopVictim announces to the victim that it will be stopped, stops it after warningTime and returns how long the voter set was not full.
func (r *voterLossRun) stopVictim() time.Duration {
	r.call(r.victim, Retire{})
	from := r.now
	var elapsed time.Duration
	if r.standbyCount() > 0 {
		elapsed = r.untilFull(warningTime)
	}
	r.changeDocument()
	r.run(from + warningTime - r.now)
	r.call(r.victim, Leave{})
	r.run(50 * time.Millisecond)
	r.down[r.victim] = true
	return elapsed
}

func (r *voterLossRun) standbyCount() int {
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
		if shape.nodes > 20 && *voterLossSeeds < 10 {
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
	play func(r *voterLossRun) time.Duration
}

// playAll plays a loss with each seed, followed by another one, and logs how long the voter set was not full.
func (l voterLoss) playAll(t *testing.T, shape fleetShape) {
	t.Helper()
	var elapsed []time.Duration
	for seed := range uint64(*voterLossSeeds) {
		r := newVoterLossRun(t, shape, seed)
		if l.name == "SIGTERM, for good" && r.standbyCount() == 0 {
			continue
		}
		elapsed = append(elapsed, l.play(r))
		r.loseMore()
	}
	if len(elapsed) == 0 {
		return
	}
	slices.Sort(elapsed)
	t.Logf("%-15s %-28s %d seeds: half within %4d ms, all within %4d ms", shape.name, l.name, len(elapsed),
		elapsed[len(elapsed)/2].Milliseconds(), elapsed[len(elapsed)-1].Milliseconds())
}
