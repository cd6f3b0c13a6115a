package sim

import (
	"fmt"
	"strings"
	"testing"
)

func TestSiteScenarios(t *testing.T) {
	for i, scenario := range SiteScenarios() {
		if raceEnabled && i%8 != 0 {
			continue
		}
		t.Run(testName(scenario.Name), func(t *testing.T) {
			t.Parallel()
			eachSeed(func(seed uint64) {
				playParallel(t, scenario, TramitesSite(), seed)
				playParallel(t, scenario, AtlasSite(), seed)
			})
		})
	}
}

// testName returns a scenario's name without spaces.
func testName(name string) string { return strings.ReplaceAll(name, " ", "-") }

// eachSeed calls play with each seed that the flags select.
func eachSeed(play func(seed uint64)) {
	for i := range uint64(*seeds) {
		play(*first + i)
	}
}

func playParallel(t *testing.T, scenario SiteScenario, spec SiteSpec, seed uint64) {
	t.Helper()
	t.Run(fmt.Sprint(strings.Fields(spec.Shape.Name)[0], "/", seed), func(t *testing.T) {
		t.Parallel()
		play(t, scenario, spec, seed)
	})
}

func play(t *testing.T, d SiteScenario, spec SiteSpec, seed uint64) {
	w := Run(d.Scenario(spec, seed))
	for _, b := range w.Audit.Breaches {
		t.Error(b)
	}
	r := w.Site()
	if got := r.Served(); got < d.MinServed {
		t.Errorf("%.1f%% of requests were served, want at least %.1f%%", 100*got, 100*d.MinServed)
	}
	var out strings.Builder
	r.Write(&out)
	t.Log("\n" + out.String())
	if t.Failed() {
		t.Logf("go test ./sim -run '%s' -seed %d -seeds 1\n%s", t.Name(), seed, strings.Join(w.Audit.TraceBeforeBreach, "\n"))
	}
}
