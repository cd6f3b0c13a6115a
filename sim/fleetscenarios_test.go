package sim

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/mallowbridge/mallowbridge/sim/shape"
)

var (
	seeds = flag.Int("seeds", 1, "seeds for each scene and shape; under the race detector a few scenes stand for all")
	first = flag.Uint64("seed", 1, "first seed")
)

func TestFleetScenarios(t *testing.T) {
	for i, scenario := range FleetScenarios() {
		if raced && i%8 != 0 {
			continue
		}
		t.Run(testName(scenario.Name), func(t *testing.T) {
			t.Parallel()
			eachSeed(func(seed uint64) {
				rehearseParallel(t, scenario, shape.Tramites(), seed)
				rehearseParallel(t, scenario, shape.Atlas(), seed)
			})
		})
	}
}

func rehearseParallel(t *testing.T, scenario FleetScenario, shape shape.Shape, seed uint64) {
	t.Helper()
	t.Run(fmt.Sprint(shape.Name, "/", seed), func(t *testing.T) {
		t.Parallel()
		rehearse(t, scenario, shape, seed)
	})
}

func rehearse(t *testing.T, sc FleetScenario, sh shape.Shape, seed uint64) {
	w := Run(sc.Scenario(sh, seed))
	if w.trap != nil {
		t.Error("the act in which a node was to freeze never came")
	}
	for _, b := range w.Audit.Breaches {
		t.Error(b)
	}
	all := w.Report.Total()
	if all.Done < 100 {
		t.Errorf("only %d requests were done", all.Done)
	}
	if sc.NoFailures && all.Rejected+all.Lost+all.Partial+all.Unknown > 0 {
		t.Errorf("denied %d, lost %d, partial %d, unknown %d", all.Rejected, all.Lost, all.Partial, all.Unknown)
	}
	if puts(w.Scenario.Faults) && w.Report.PutsAccepted < 3 {
		t.Errorf("only %d configurations were taken, %d denied", w.Report.PutsAccepted, w.Report.PutsRejected)
	}
	var out strings.Builder
	w.Report.Write(&out)
	t.Log("\n" + out.String())
	if t.Failed() {
		t.Logf("go test ./sim -run '%s' -seed %d -seeds 1\n%s", t.Name(), seed, strings.Join(w.Audit.TraceBeforeBreach, "\n"))
	}
}

func puts(fs []Fault) bool {
	return slices.ContainsFunc(fs, func(f Fault) bool { return f.Kind == PutStorm || f.Kind == ConcurrentPuts || f.Kind == LargePuts })
}

func TestSameSeedSameRun(t *testing.T) {
	if raced {
		t.Skip("a world is one goroutine; the plain run covers it")
	}
	scenes := FleetScenarios()
	sc := scenes[len(scenes)-1]
	var runs [2]string
	for i := range runs {
		w := Run(sc.Scenario(shape.Atlas(), 7))
		runs[i] = fmt.Sprint(w.Ran, w.Got, w.Net.Messages)
	}
	if runs[0] != runs[1] {
		t.Error("one seed gave two different runs")
	}
}
