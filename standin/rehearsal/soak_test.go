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

// TestVersionsThatMayBeInForce: a version counts from when it was sent until a later one has been acknowledged for the time to apply.
func TestVersionsThatMayBeInForce(t *testing.T) {
	late := applyTime.Milliseconds()
	s := soakRoutes{versions: []routeVersion{
		{sentMs: 0, takenMs: 10, repeatable: map[string]bool{turningPlainPath: true}},
		{sentMs: 1000, takenMs: 1010},
		{sentMs: 50000, repeatable: map[string]bool{turningPlainPath: true}},
	}}
	for _, c := range []struct {
		from, until int64
		want        bool
	}{{500, 600, true}, {1010 + late, 1020 + late, true}, {1011 + late, 1020 + late, false}, {49000, 49999, false}, {49000, 50000, true}, {90000, 90001, true}} {
		if got := s.mayRepeat(turningPlainPath, c.from, c.until); got != c.want {
			t.Errorf("from %d until %d: %v", c.from, c.until, got)
		}
	}
}

// TestAlteredRequestIsSeen sends a replica a request whose body is not what its digest says.
func TestAlteredRequestIsSeen(t *testing.T) {
	runs := make(chan ReplicaRun, 2)
	r, err := StartReplica("i-1", 1, 1, FaultRates{}, func(run ReplicaRun) { runs <- run })
	if err != nil {
		t.Fatal(err)
	}
	defer r.Stop()
	for body, want := range map[string]bool{"mine": false, "": true} {
		req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+r.Addr+oncePath+"c?n=1", strings.NewReader(body))
		req.Header.Set(headerDigest, digest(http.MethodPost, oncePath+"c?n=1", []byte("mine")))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		run := <-runs
		if got := altered(run.Request, run.Body); (got != "") != want {
			t.Errorf("body %q: %q", body, got)
		}
	}
}

// TestHeldOrderArrivesWithItsEnd: what a partition holds up comes late, and the end of the connection right behind it.
func TestHeldOrderArrivesWithItsEnd(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	z := &zoneOperator{controls: []string{lis.Addr().String()}, rng: rand.New(rand.NewPCG(1, 1)), evacuations: map[string][]ledger.Span{}}
	began := time.Now()
	z.hold(http.MethodDelete, "a")
	conn, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	buffer := make([]byte, 1024)
	n, err := conn.Read(buffer)
	if err != nil || !strings.HasPrefix(string(buffer[:n]), "DELETE /evacuations/a HTTP/1.1\r\n") || time.Since(began) < callerPatience {
		t.Errorf("%q after %s, %v", buffer[:n], time.Since(began), err)
	}
	if _, err = conn.Read(buffer); err == nil {
		t.Error("the connection goes on behind the order")
	}
	z.late.Wait()
}
