package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/router"
)

type fleet struct {
	t     *testing.T
	now   time.Duration
	nodes map[string]*Node
	mute  map[string]bool
	said  map[uint64]Answer
	asked uint64
}

func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{t: t, nodes: map[string]*Node{}, mute: map[string]bool{}, said: map[uint64]Answer{}}
	for i := range size {
		f.boot(i, 1)
	}
	for _, n := range f.nodes {
		for _, o := range f.nodes {
			n.Members.Merge(0, o.Members.Self)
		}
	}
	return f
}

func (f *fleet) boot(i int, incarnation uint64) {
	name := fmt.Sprint("n", i)
	f.nodes[name] = New(f.now, Config{Name: name, Addr: name, Boot: fmt.Sprint(incarnation), Zone: fmt.Sprint(i % 3), Incarnation: incarnation, Seed: incarnation, Membership: membership.Defaults(), Gossip: gossip.Defaults()})
	for _, o := range f.nodes {
		f.nodes[name].Members.Merge(f.now, o.Members.Self)
	}
}

func (f *fleet) carry(from string, out Output) {
	for _, a := range out.Answers {
		f.said[a.ID] = a
	}
	for _, s := range out.Sends {
		switch s.Msg.(type) {
		case WitnessQuery, WitnessReply, WitnessForget:
			if !f.mute[s.To] && !f.mute[from] {
				f.carry(s.To, f.nodes[s.To].Step(f.now, Received{From: from, Msg: s.Msg}))
			}
		}
	}
}

func (f *fleet) ask(at, request string) (router.AttemptResult, time.Duration) {
	return f.order(at, Witness{Request: request})
}

func (f *fleet) order(at string, op Witness) (router.AttemptResult, time.Duration) {
	request := op.Request
	f.asked++
	id, from := f.asked, f.now
	f.carry(at, f.nodes[at].Step(f.now, Command{ID: id, Op: op}))
	for ; f.now-from < 3*time.Second; f.now += 10 * time.Millisecond {
		if a, ok := f.said[id]; ok {
			return WitnessOutcome(a), f.now - from
		}
		n := f.nodes[at]
		n.out = &Output{}
		n.witness.tick(f.now, n)
		f.carry(at, *n.out)
	}
	f.t.Fatalf("%s was never answered", request)
	return "", 0
}

func TestWitnesses(t *testing.T) {
	f := newFleet(t, 12)
	f.now = 11 * time.Minute
	if how, elapsed := f.ask("n0", "q1"); how != "" || elapsed != 0 {
		t.Errorf("the first asker: %q after %s", how, elapsed)
	}
	if how, _ := f.ask("n0", "q1"); how != "" {
		t.Errorf("the same router again: %q", how)
	}
	if how, _ := f.ask("n7", "q1"); how != router.Suppressed {
		t.Errorf("another router: %q", how)
	}
	if how, _ := f.order("n7", Witness{Request: "q1", Peek: true}); how != router.Suppressed {
		t.Errorf("another router that peeks: %q", how)
	}
	if how, _ := f.order("n7", Witness{Request: "q0", Peek: true}); how != "" {
		t.Errorf("peeking for a new request: %q", how)
	}
	if how, _ := f.ask("n3", "q0"); how != "" {
		t.Errorf("peeking was remembered: %q", how)
	}
	set := f.nodes["n0"].witnesses("q2")
	for _, m := range set[:2] {
		f.mute[m.Name] = true
	}
	if how, elapsed := f.ask(set[3].Name, "q2"); how != "" || elapsed != 0 {
		t.Errorf("two of six are silent: %q after %s", how, elapsed)
	}
	f.mute[set[2].Name] = true
	if how, elapsed := f.ask(set[3].Name, "q3"); how != "" && elapsed < witnessTimeout {
		t.Errorf("gave up after %s", elapsed)
	}
	if how, elapsed := f.ask(set[3].Name, "q2b"+find(f, set[:3])); how != router.NoWitnessQuorum || elapsed < witnessTimeout || elapsed > 2*witnessTimeout {
		t.Errorf("three of six are silent: %q after %s", how, elapsed)
	}
	f.mute = map[string]bool{}
	if how, _ := f.ask(set[4].Name, "q2b"+find(f, set[:3])); how != "" {
		t.Errorf("what was denied as not run is still remembered: %q", how)
	}
}

// find gives an ending that makes the three witnesses of one request those of another.
func find(f *fleet, overdue []membership.Member) string {
	for i := 0; ; i++ {
		n := 0
		for _, m := range f.nodes["n0"].witnesses(fmt.Sprint("q2b", i)) {
			for _, s := range overdue {
				if s.Name == m.Name {
					n++
				}
			}
		}
		if n == len(overdue) {
			return fmt.Sprint(i)
		}
	}
}

// The first router reached four of six, three of those die, the fourth is slow: the second router must not find four others.
func TestDeathChangesNoWitness(t *testing.T) {
	for i := range 100 {
		f := newFleet(t, 12)
		f.now = 11 * time.Minute
		request := fmt.Sprint("r", i)
		set := f.nodes["n0"].witnesses(request)
		first, second := set[0].Name, set[5].Name
		f.mute[set[4].Name], f.mute[second] = true, true
		if how, _ := f.ask(first, request); how != "" {
			t.Fatal(request, how)
		}
		f.mute = map[string]bool{set[3].Name: true}
		for _, m := range set[:3] {
			m.State = membership.Dead
			f.nodes[second].Members.Merge(f.now, m)
			f.mute[m.Name] = true
		}
		if how, _ := f.ask(second, request); how == "" {
			t.Errorf("%s ran twice: its three living witnesses were not enough to go by", request)
		}
	}
}
