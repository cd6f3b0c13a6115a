package sim

import (
	"fmt"
	"strings"
	"testing"
)

func TestSiteScenarios(t *testing.T) {
	for i, d := range SiteScenarios() {
		if raced && i%8 != 0 {
			continue
		}
		t.Run(strings.ReplaceAll(d.Name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			for i := range uint64(*seeds) {
				for _, spec := range []SiteSpec{TramitesSite(), AtlasSite()} {
					seed := *first + i
					t.Run(fmt.Sprint(strings.Fields(spec.Shape.Name)[0], "/", seed), func(t *testing.T) {
						t.Parallel()
						play(t, d, spec, seed)
					})
				}
			}
		})
	}
}

func play(t *testing.T, d SiteScenario, spec SiteSpec, seed uint64) {
	w := Run(d.Scenario(spec, seed))
	for _, b := range w.Audit.Breaches {
		t.Error(b)
	}
	r := w.Site()
	if got := r.Served(); got < d.Least {
		t.Errorf("%.1f%% are served, not %.1f%%", 100*got, 100*d.Least)
	}
	var out strings.Builder
	r.Write(&out)
	t.Log("\n" + out.String())
	if t.Failed() {
		t.Logf("go test ./stage -run '%s' -seed %d -seeds 1\n%s", t.Name(), seed, strings.Join(w.Audit.Story, "\n"))
	}
}
