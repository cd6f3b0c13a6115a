package rehearsal

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/ledger"
)

// TestVersionsThatMayBeInForce checks that a version counts as possibly in force from when it was sent until maxApplyTime after the acknowledgement of
// a later version.
func TestVersionsThatMayBeInForce(t *testing.T) {
	applyMs := maxApplyTime.Milliseconds()
	s := soakRoutes{versions: []routeVersion{
		{sentMs: 0, acknowledgedMs: 10, repeatable: map[string]bool{changingPlainPath: true}},
		{sentMs: 1000, acknowledgedMs: 1010},
		{sentMs: 50000, repeatable: map[string]bool{changingPlainPath: true}},
	}}
	for _, c := range []struct {
		from, until int64
		want        bool
	}{{500, 600, true}, {1010 + applyMs, 1020 + applyMs, true}, {1011 + applyMs, 1020 + applyMs, false}, {49000, 49999, false}, {49000, 50000, true}, {90000, 90001, true}} {
		if got := s.mayRepeat(changingPlainPath, c.from, c.until); got != c.want {
			t.Errorf("request from %d until %d: mayRepeat = %v", c.from, c.until, got)
		}
	}
}

// TestAlteredRequestIsDetected sends a replica a request whose body does not match its digest.
func TestAlteredRequestIsDetected(t *testing.T) {
	runs := make(chan ReplicaRun, 2)
	r, err := StartReplica("i-1", 1, 1, FaultRates{}, func(run ReplicaRun) { runs <- run })
	if err != nil {
		t.Fatal(err)
	}
	defer r.Stop()
	for body, want := range map[string]bool{"mine": false, "": true} {
		req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+r.Addr+oncePath+"c?n=1", strings.NewReader(body))
		req.Header.Set(headerDigest, requestDigest(http.MethodPost, oncePath+"c?n=1", []byte("mine")))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		run := <-runs
		if got := describeAlteration(run.Request, run.Body); (got != "") != want {
			t.Errorf("body %q: alteration %q", body, got)
		}
	}
}

// TestDelayedRequestArrivesWithClose checks that a request that a partition delays arrives late, and the close of its connection right after it.
func TestDelayedRequestArrivesWithClose(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	z := &zoneOperator{controls: []string{lis.Addr().String()}, rng: rand.New(rand.NewPCG(1, 1)), evacuations: map[string][]ledger.Span{}}
	startedAt := time.Now()
	z.submitDelayed(http.MethodDelete, "a")
	conn, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	buffer := make([]byte, 1024)
	n, err := conn.Read(buffer)
	if err != nil || !strings.HasPrefix(string(buffer[:n]), "DELETE /evacuations/a HTTP/1.1\r\n") || time.Since(startedAt) < callerTimeout {
		t.Errorf("received %q after %s, error %v", buffer[:n], time.Since(startedAt), err)
	}
	if _, err = conn.Read(buffer); err == nil {
		t.Error("the connection is still open after the request")
	}
	z.delayed.Wait()
}
