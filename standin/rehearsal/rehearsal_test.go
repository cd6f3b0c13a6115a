package rehearsal

import (
	"math/rand/v2"
	"net/http"
	"testing"

	"github.com/mallowbridge/mallowbridge/ledger"
	"github.com/mallowbridge/mallowbridge/platform"
)

// TestReplicaInjectsFaults sends requests directly to replicas that each have a single kind of fault.
func TestReplicaInjectsFaults(t *testing.T) {
	for name, c := range map[string]struct {
		faults    FaultRates
		responded bool
		complete  bool
		torn      bool
	}{
		"no fault":         {FaultRates{}, true, true, false},
		"reject":           {FaultRates{Reject: 1}, false, false, false},
		"reset":            {FaultRates{Reset: 1}, false, false, false},
		"truncate, framed": {FaultRates{TruncateFramed: 1}, true, true, true},
		"duplicate":        {FaultRates{Duplicate: 1}, true, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := StartReplica("i-1", 7, 1, c.faults, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer r.Stop()
			client := NewClient(1, 2, []string{r.Addr})
			a := ledger.StreamResponse{Node: r.Addr, Request: "a", Total: 5}
			if responded := client.attempt(&a, resumablePath, normalBehavior); responded != c.responded || a.Complete != c.complete || a.HasPartialEvent != c.torn {
				t.Errorf("responded %v, recorded %+v", responded, a)
			}
			if c.responded && !c.torn && len(ledger.CheckStreams([]ledger.StreamResponse{a})) > 0 {
				t.Errorf("a breach was found in %+v", a)
			}
		})
	}
}

// TestTruncatedResponsesAreFound checks that the ledger check finds a truncated response that no node repairs.
func TestTruncatedResponsesAreFound(t *testing.T) {
	r, err := StartReplica("i-1", 7, 1, FaultRates{TruncateFramed: 1}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Stop()
	a := ledger.StreamResponse{Node: r.Addr, Request: "a", Total: 5}
	NewClient(1, 2, []string{r.Addr}).attempt(&a, resumablePath, normalBehavior)
	if found := ledger.CheckStreams([]ledger.StreamResponse{a}); len(found) != 1 || found[0].Kind != ledger.Truncated {
		t.Errorf("found %v, want one truncated response", found)
	}
}

// TestReplicaRejectsMisdirectedRequests checks that a replica responds to requests for other weights or for another instance with status 421, and does
// not run them.
func TestReplicaRejectsMisdirectedRequests(t *testing.T) {
	r, err := StartReplica("i-1", 7, 1, FaultRates{}, nil)
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
			t.Errorf("request with wrong %s got status %d", header, resp.StatusCode)
		}
	}
}

func TestEachFaultIsDrawn(t *testing.T) {
	rng, drawn := rand.New(rand.NewPCG(1, 2)), map[responseFault]int{}
	for range 10000 {
		drawn[DefaultFaultRates().draw(rng)]++
	}
	for kind := noFault; kind <= duplicateFault; kind++ {
		if drawn[kind] < 200 {
			t.Errorf("fault %d was drawn %d times", kind, drawn[kind])
		}
	}
}
