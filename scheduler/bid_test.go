package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"
)

func market(room int, kinds ...Kind) (m *Market) {
	m = New(Defaults("n1", "a"))
	o := m.AddOffer(Offer{Name: "o", Kinds: kinds, SecondShare: 0.2, SecondPlus: 4, Base: 50 * time.Millisecond, PerToken: 200 * time.Microsecond, CrossCost: 1})
	for i := range 2 {
		dom := string(rune('a' + i))
		r := m.AddReplica(Replica{Name: "r" + dom, Offer: o, Domain: dom, Near: i == 0, Room: room, Listed: true, Up: true, Warm: true}, 1000)
		m.Offers[o].Reps = append(m.Offers[o].Reps, r)
	}
	m.SetRouters(0, []RouterRow{{"n1", "a"}})
	m.Feed(3*time.Second, "")
	m.Tick(3 * time.Second)
	return m
}

var again, once = Kind{Value: 1, Urgency: 1, Bound: time.Second, Repeatable: true}, Kind{Value: 1, Urgency: 1, Bound: time.Second}

const now = 3 * time.Second

func only(t *testing.T, acts []Act, kinds ...ActKind) (a Act) {
	t.Helper()
	if len(acts) != len(kinds) {
		t.Fatalf("%+v, want kinds %v", acts, kinds)
	}
	for i, k := range kinds {
		if acts[i].Kind != k {
			t.Fatalf("%+v, want kinds %v", acts, kinds)
		}
		a = acts[i]
	}
	return a
}

func TestOneGoOnlyAfterAByteMayHaveLeft(t *testing.T) {
	for _, end := range []End{Broken, Refused} {
		m := market(4, once)
		id := m.Arrive(now, Ask{})
		p := only(t, m.Tick(now), Place)
		m.Leave(now, id, p.Go)
		only(t, m.Tick(now), Send)
		m.Finish(now, id, p.Go, end)
		if a := only(t, m.Tick(now), Unknown); a.After != 0 {
			t.Error("a request that may have run is invited to come back")
		}
	}
	m := market(4, once)
	id := m.Arrive(now, Ask{})
	p := only(t, m.Tick(now), Place)
	m.Finish(now, id, p.Go, Unreached)
	if q := only(t, m.Tick(now), Place); q.Rep == p.Rep {
		t.Error("placed on the replica that was not reached")
	}
}

func TestWhatMayHaveRunIsNeverDenied(t *testing.T) {
	m := market(4, again)
	m.Offers[0].second.now = 1
	id := m.Arrive(now, Ask{})
	p := only(t, m.Tick(now), Place)
	m.Leave(now, id, p.Go)
	m.Tick(now)
	m.Finish(now, id, p.Go, Broken)
	only(t, m.Tick(now), Place)
	m.Reps[0].Listed, m.Reps[1].Listed = false, false
	m.Leave(now, id, m.Asks.rows[id].Go)
	only(t, m.Tick(now), Recall)
	only(t, m.Tick(now+2*time.Second), Unknown)
}

func TestQueuedPlacementIsCheckedAgainAtSending(t *testing.T) {
	for name, spoil := range map[string]func(m *Market){
		"leaving": func(m *Market) { m.Reps[0].Leaving = true },
		"emptied": func(m *Market) { m.Reps[0].Emptied = true },
		"down":    func(m *Market) { m.Reps[0].Up = false },
		"stale":   func(m *Market) { m.fed = now - 2*time.Second },
		"away":    func(m *Market) { m.why = "heard by nobody" },
	} {
		m := market(4, once)
		id := m.Arrive(now, Ask{})
		p := only(t, m.Tick(now), Place)
		spoil(m)
		m.Leave(now, id, p.Go)
		if acts := m.Tick(now); acts[0].Kind != Recall {
			t.Errorf("%s: %+v", name, acts)
		}
	}
}

func TestBacklogOrderAndEarlyDenial(t *testing.T) {
	low := Kind{Value: 1, Urgency: 1, Bound: 2 * time.Second}
	high := Kind{Value: 10, Urgency: 3, Bound: 2 * time.Second}
	m := market(1, low, high)
	m.Reps[1].Listed = false
	first := m.Arrive(now, Ask{Kind: 0})
	p := only(t, m.Tick(now), Place)
	m.Leave(now, first, p.Go)
	only(t, m.Tick(now), Send)
	slow, fast := m.Arrive(now, Ask{Kind: 0}), m.Arrive(now, Ask{Kind: 1})
	only(t, m.Tick(now), Peek, Peek)
	m.Finish(now, first, p.Go, Whole)
	acts := m.Tick(now)
	if a := only(t, acts, Done, Place); a.Ask != fast || a.Ask == slow {
		t.Errorf("the lower bid won: %+v", a)
	}
	for range 8 {
		m.Arrive(now, Ask{Kind: 0})
	}
	denied := 0
	for _, a := range m.Tick(now) {
		if a.Kind == Deny {
			denied++
			if a.Late || a.After < time.Second {
				t.Errorf("%+v", a)
			}
		}
	}
	if denied < 4 {
		t.Errorf("only %d of 9 were denied at once though one slot frees each half second", denied)
	}
}

func TestSecondGoesKeepTheirShareOverAnyWindow(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	p := purse{}
	p.limit(0.2, 6)
	var firsts, seconds []int
	for at := range 20000 {
		if rng.IntN(1+at/2000%3) == 0 {
			p.earn()
			firsts = append(firsts, at)
		}
		if rng.IntN(2) == 0 && p.spend() {
			seconds = append(seconds, at)
		}
	}
	for from := 0; from < 20000; from += 37 {
		for _, span := range []int{1, 10, 100, 1000} {
			in := func(ts []int) (n int) {
				for _, t := range ts {
					if t >= from && t < from+span {
						n++
					}
				}
				return n
			}
			if s, f := in(seconds), in(firsts); float64(s) > 0.2*float64(f)+6+1e-9 {
				t.Fatalf("%d seconds for %d firsts in [%d, +%d)", s, f, from, span)
			}
		}
	}
}

func TestUsageIsNotCountedTwice(t *testing.T) {
	r := Replica{Room: 8}
	r.began(10 * time.Second)
	r.began(12 * time.Second)
	r.report(11*time.Second, 3)
	if r.load() != 4 {
		t.Errorf("%d: of the report's three one is ours, and one of ours began later", r.load())
	}
	r.ended(13*time.Second, 10*time.Second)
	if r.load() != 3 {
		t.Errorf("%d after one that the report counts ended", r.load())
	}
	r.ended(14*time.Second, 12*time.Second)
	if r.load() != 2 {
		t.Errorf("%d after the later one ended", r.load())
	}
	r.report(9*time.Second, 8)
	if r.load() != 2 {
		t.Error("an older report came into force")
	}
}

func TestABrokenReplicaIsTakenForColdUntilItsReportSaysOtherwise(t *testing.T) {
	m := market(8, once)
	m.Offers[0].ColdRamp, m.Offers[0].ColdRoom = 8*time.Second, 1
	m.Reps[0].eff, m.Reps[1].eff = -1, -1
	id := m.Arrive(now, Ask{})
	p := only(t, m.Tick(now), Place)
	m.Finish(now, id, p.Go, Unreached)
	m.Tick(now)
	if n := m.free(now+time.Second, p.Rep); n > 1 {
		t.Errorf("%d goes at once for a replica that may have restarted", n)
	}
	m.Same(now-time.Second, now, p.Rep)
	if n := m.free(now+time.Second, p.Rep); n > 1 {
		t.Errorf("a report from before cleared it: %d", n)
	}
	m.Same(now+500*time.Millisecond, -time.Hour, p.Rep)
	if n := m.free(now+time.Second, p.Rep); n != 8 {
		t.Errorf("%d of 8 after a report of the same instance", n)
	}
}

func TestAskedElsewhereBeforeIsWithheldUntilItLeft(t *testing.T) {
	m := market(1, once)
	first, second := m.Arrive(now, Ask{}), 0
	p := only(t, m.Tick(now), Place)
	m.Leave(now, first, p.Go)
	only(t, m.Tick(now), Send)
	m.Withhold(now, first)
	if acts := m.Tick(now); len(acts) > 0 {
		t.Errorf("withheld after it was sent: %+v", acts)
	}
	for i := range m.Reps {
		m.Reps[i].Own = m.Reps[i].share
	}
	second = m.Arrive(now, Ask{})
	only(t, m.Tick(now), Peek)
	m.Withhold(now, second)
	if d := only(t, m.Tick(now), Deny); !d.Repeat || len(m.waiting) > 0 {
		t.Errorf("%+v, %d wait", d, len(m.waiting))
	}
}
