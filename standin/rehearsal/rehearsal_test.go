package rehearsal

import (
	"math/rand/v2"
	"net/http"
	"testing"

	"github.com/mallowbridge/mallowbridge/ledger"
	"github.com/mallowbridge/mallowbridge/platform"
)

// TestReplicaSpoilsWhatItIsToldTo asks replicas that do one thing each, without a node between.
func TestReplicaSpoilsWhatItIsToldTo(t *testing.T) {
	for name, c := range map[string]struct {
		faults   Faults
		answered bool
		complete bool
		torn     bool
	}{
		"sound":      {Faults{}, true, true, false},
		"refuse":     {Faults{Refuse: 1}, false, false, false},
		"vanish":     {Faults{Vanish: 1}, false, false, false},
		"cut framed": {Faults{CutFramed: 1}, true, true, true},
		"surplus":    {Faults{Surplus: 1}, true, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := StartReplica("i-1", 7, 1, c.faults, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer r.Stop()
			client := NewClient(1, 2, []string{r.Addr})
			a := ledger.StreamAnswer{Node: r.Addr, Request: "a", Total: 5}
			if answered := client.try(&a, resumablePath, usual); answered != c.answered || a.Complete != c.complete || a.Torn != c.torn {
				t.Errorf("answered %v: %+v", answered, a)
			}
			if c.answered && !c.torn && len(ledger.CheckStreams([]ledger.StreamAnswer{a})) > 0 {
				t.Errorf("%+v", a)
			}
		})
	}
}

// TestCutAnswersAreFound shows that the judge finds a replica's own breaks where no node mends them.
func TestCutAnswersAreFound(t *testing.T) {
	r, err := StartReplica("i-1", 7, 1, Faults{CutFramed: 1}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Stop()
	a := ledger.StreamAnswer{Node: r.Addr, Request: "a", Total: 5}
	NewClient(1, 2, []string{r.Addr}).try(&a, resumablePath, usual)
	if found := ledger.CheckStreams([]ledger.StreamAnswer{a}); len(found) != 1 || found[0].What != ledger.Truncated {
		t.Errorf("%v", found)
	}
}

// TestReplicaOfOtherWeightsRefuses: 421, not run.
func TestReplicaOfOtherWeightsRefuses(t *testing.T) {
	r, err := StartReplica("i-1", 7, 1, Faults{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Stop()
	for header, value := range map[string]string{platform.HeaderExpectedVersion: "8", platform.HeaderTargetInstance: "i-2"} {
		req, _ := http.NewRequest(http.MethodPost, "http://"+r.Addr+"/streams/a", http.NoBody)
		req.Header.Set(header, value)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusMisdirectedRequest || resp.Header.Get(platform.HeaderNotExecuted) == "" {
			t.Errorf("%s: %d", header, resp.StatusCode)
		}
	}
}

func TestFaultsAreDrawnByTheirOdds(t *testing.T) {
	rng, drawn := rand.New(rand.NewPCG(1, 2)), map[fault]int{}
	for range 10000 {
		drawn[DefaultFaults().draw(rng)]++
	}
	for kind := sound; kind <= surplus; kind++ {
		if drawn[kind] < 200 {
			t.Errorf("fault %d was drawn %d times", kind, drawn[kind])
		}
	}
}
