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

// fakeControl takes orders with a status, and reads a revision that is older than the newest by some.
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

// TestOperatorsFindWhatGoesBack asks controls that read an older revision, or refuse an order on the newest.
func TestOperatorsFindWhatGoesBack(t *testing.T) {
	for _, c := range []struct {
		name   string
		older  uint64
		status int
		want   string
	}{
		{"sound", 0, http.StatusOK, ""},
		{"older", 1, http.StatusOK, ledger.RevisionRegressed},
		{"refused", 0, http.StatusPreconditionFailed, ledger.OperatorRequestRejected},
		{"unclear", 0, http.StatusServiceUnavailable, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeControl{older: c.older, status: c.status}
			f.revision.Store(1)
			control := httptest.NewServer(f)
			defer control.Close()
			o := &operators{controls: []string{strings.TrimPrefix(control.URL, "http://")}, seed: 1, breaches: make(chan ledger.Breach, maxBreaches), changes: sameRoutes{rng: rand.New(rand.NewPCG(1, 1))}}
			o.acknowledged.Store(1)
			o.run(time.Now().Add(300 * time.Millisecond))
			var found string
			for b := range o.breaches {
				found = b.Kind
			}
			if found != c.want {
				t.Errorf("found %q, not %q", found, c.want)
			}
		})
	}
}
