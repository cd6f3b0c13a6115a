package rehearsal

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/ledger"
)

// fakeControl is a control plane that responds to puts with a fixed status, and to reads with a revision that is older than the newest one by a fixed
// number.
type fakeControl struct {
	older    uint64
	status   int
	revision atomic.Uint64
}

func (f *fakeControl) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.Method == http.MethodGet {
		fmt.Fprintf(w, `{"revision":%d}`, f.revision.Load()-f.older)
		return
	}
	if f.status == http.StatusOK {
		f.revision.Add(1)
	}
	w.WriteHeader(f.status)
}

// TestOperatorsFindRevisionsThatGoBack checks that operators report a read of an older revision, and the rejection of a document on top of the newest
// revision.
func TestOperatorsFindRevisionsThatGoBack(t *testing.T) {
	for _, c := range []struct {
		name   string
		older  uint64
		status int
		want   string
	}{
		{"newest revision", 0, http.StatusOK, ""},
		{"older revision", 1, http.StatusOK, ledger.RevisionRegressed},
		{"rejected put", 0, http.StatusPreconditionFailed, ledger.OperatorRequestRejected},
		{"inconclusive put", 0, http.StatusServiceUnavailable, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeControl{older: c.older, status: c.status}
			f.revision.Store(1)
			control := httptest.NewServer(f)
			defer control.Close()
			o := &operators{controls: []string{strings.TrimPrefix(control.URL, "http://")}, seed: 1, breaches: make(chan ledger.Breach, breachBuffer), documents: unchangedRoutes{rng: rand.New(rand.NewPCG(1, 1))}}
			o.acknowledged.Store(1)
			o.run(time.Now().Add(300 * time.Millisecond))
			var found string
			for b := range o.breaches {
				found = b.Kind
			}
			if found != c.want {
				t.Errorf("found breach %q, want %q", found, c.want)
			}
		})
	}
}
