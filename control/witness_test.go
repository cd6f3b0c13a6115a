package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/router"
)

// witnessFleet is a set of nodes that exchange only the messages of witnesses, without delay. Silent nodes neither receive nor send any.
type witnessFleet struct {
	t       *testing.T
	now     time.Duration
	nodes   map[string]*Node
	silent  map[string]bool
	answers map[uint64]Answer
	asked   uint64
	// afterAsking, if set, is called once the next query was sent.
	afterAsking func()
}

func newWitnessFleet(t *testing.T, size int) *witnessFleet {
	f := &witnessFleet{t: t, nodes: map[string]*Node{}, silent: map[string]bool{}, answers: map[uint64]Answer{}}
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

func (f *witnessFleet) boot(i int, incarnation uint64) {
	name := fmt.Sprint("n", i)
	f.nodes[name] = New(f.now, Config{Name: name, Addr: name, BootID: fmt.Sprint(incarnation), Zone: fmt.Sprint(i % 3), Incarnation: incarnation, Seed: incarnation, Membership: membership.Defaults(), Gossip: gossip.Defaults()})
	for _, o := range f.nodes {
		f.nodes[name].Members.Merge(f.now, o.Members.Self)
	}
}

func (f *witnessFleet) handleOutput(from string, out Output) {
	for _, a := range out.Answers {
		f.answers[a.ID] = a
	}
	for _, s := range out.Sends {
		switch s.Msg.(type) {
		case WitnessQuery, WitnessReply, WitnessForget:
			if !f.silent[s.To] && !f.silent[from] {
				f.handleOutput(s.To, f.nodes[s.To].Step(f.now, Received{From: from, Msg: s.Msg}))
			}
		}
	}
}

func (f *witnessFleet) ask(at, request string) (router.AttemptResult, time.Duration) {
	return f.run(at, Witness{Request: request})
}

func (f *witnessFleet) run(at string, op Witness) (router.AttemptResult, time.Duration) {
	request := op.Request
	f.asked++
	id, from := f.asked, f.now
	f.handleOutput(at, f.nodes[at].Step(f.now, Command{ID: id, Op: op}))
	if f.afterAsking != nil {
		f.afterAsking()
		f.afterAsking = nil
	}
	for ; f.now-from < 3*time.Second; f.now += 10 * time.Millisecond {
		if a, ok := f.answers[id]; ok {
			return WitnessOutcome(a), f.now - from
		}
		n := f.nodes[at]
		n.out = &Output{}
		n.witness.tick(f.now, n)
		f.handleOutput(at, *n.out)
	}
	f.t.Fatalf("the query for %s was never answered", request)
	return "", 0
}

func TestWitnesses(t *testing.T) {
	f := newWitnessFleet(t, 12)
	f.now = 11 * time.Minute
	if how, elapsed := f.ask("n0", "q1"); how != "" || elapsed != 0 {
		t.Errorf("the first router: %q after %s", how, elapsed)
	}
	if how, _ := f.ask("n0", "q1"); how != "" {
		t.Errorf("the same router again: %q", how)
	}
	if how, _ := f.ask("n7", "q1"); how != router.Suppressed {
		t.Errorf("another router: %q", how)
	}
	if how, _ := f.run("n7", Witness{Request: "q1", Peek: true}); how != router.Suppressed {
		t.Errorf("another router with peek: %q", how)
	}
	if how, _ := f.run("n7", Witness{Request: "q0", Peek: true}); how != "" {
		t.Errorf("peek for a new request: %q", how)
	}
	if how, _ := f.ask("n3", "q0"); how != "" {
		t.Errorf("the witnesses remembered a peek: %q", how)
	}
	set := f.nodes["n0"].witnesses("q2")
	for _, m := range set[:2] {
		f.silent[m.Name] = true
	}
	if how, elapsed := f.ask(set[3].Name, "q2"); how != "" || elapsed != 0 {
		t.Errorf("two of six witnesses are silent: %q after %s", how, elapsed)
	}
	f.silent[set[2].Name] = true
	if how, elapsed := f.ask(set[3].Name, "q3"); how != "" && elapsed < witnessTimeout {
		t.Errorf("gave up after %s", elapsed)
	}
	if how, elapsed := f.ask(set[3].Name, "q2b"+find(f, set[:3])); how != router.NoWitnessQuorum || elapsed < witnessTimeout || elapsed > 2*witnessTimeout {
		t.Errorf("three of six witnesses are silent: %q after %s", how, elapsed)
	}
	f.silent = map[string]bool{}
	if how, _ := f.ask(set[4].Name, "q2b"+find(f, set[:3])); how != "" {
		t.Errorf("a withdrawn query is still remembered: %q", how)
	}
}

// find returns a suffix for which three of the request's witnesses are the given ones.
func find(f *witnessFleet, wanted []membership.Member) string {
	for i := 0; ; i++ {
		n := 0
		for _, m := range f.nodes["n0"].witnesses(fmt.Sprint("q2b", i)) {
			for _, s := range wanted {
				if s.Name == m.Name {
					n++
				}
			}
		}
		if n == len(wanted) {
			return fmt.Sprint(i)
		}
	}
}

// TestDeathChangesNoWitness covers a first router that reached four of six witnesses, of which three die and the fourth is slow. The second
// router must not get enough replies from other witnesses.
func TestDeathChangesNoWitness(t *testing.T) {
	for i := range 100 {
		f := newWitnessFleet(t, 12)
		f.now = 11 * time.Minute
		request := fmt.Sprint("r", i)
		set := f.nodes["n0"].witnesses(request)
		first, second := set[0].Name, set[5].Name
		f.silent[set[4].Name], f.silent[second] = true, true
		if how, _ := f.ask(first, request); how != "" {
			t.Fatal(request, how)
		}
		f.silent = map[string]bool{set[3].Name: true}
		for _, m := range set[:3] {
			m.State = membership.Dead
			f.nodes[second].Members.Merge(f.now, m)
			f.silent[m.Name] = true
		}
		if how, _ := f.ask(second, request); how == "" {
			t.Errorf("%s was sent twice: its three live witnesses did not suffice to prevent it", request)
		}
	}
}

// TestNothingRunsWithoutAWitness has two routers believe that all witnesses of a request are dead, as those of a zone that is cut
// off do, from the start or while they ask. Neither may send it: nobody would know of the first attempt.
func TestNothingRunsWithoutAWitness(t *testing.T) {
	for _, deadBefore := range []bool{true, false} {
		f := newWitnessFleet(t, 12)
		f.now = 11 * time.Minute
		set := f.nodes["n0"].witnesses("r")
		for _, m := range set {
			f.silent[m.Name] = true
		}
		for _, name := range f.othersThan(set)[:2] {
			declareDead := func() { f.declareDead(name, set) }
			if deadBefore {
				declareDead()
			} else {
				f.afterAsking = declareDead
			}
			if how, elapsed := f.run(name, Witness{Request: "r", SpareTime: 2 * time.Second}); how != router.NoWitnessQuorum || elapsed > 2*witnessTimeout {
				t.Errorf("dead before %v: %q after %s, want %q soon", deadBefore, how, elapsed, router.NoWitnessQuorum)
			}
		}
	}
}

// othersThan returns the names of the nodes that are not members of the set.
func (f *witnessFleet) othersThan(set []membership.Member) []string {
	var others []string
	for name := range f.nodes {
		if !slices.ContainsFunc(set, func(m membership.Member) bool { return m.Name == name }) {
			others = append(others, name)
		}
	}
	return others
}

// declareDead has one node believe that all members of the set are dead.
func (f *witnessFleet) declareDead(node string, set []membership.Member) {
	for _, m := range set {
		m.State = membership.Dead
		f.nodes[node].Members.Merge(f.now, m)
	}
}
