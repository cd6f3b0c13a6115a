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
	seeds = flag.Int("seeds", 1, "number of seeds for each scenario and shape; under the race detector only some scenarios are played")
	first = flag.Uint64("seed", 1, "first seed")
)

func TestFleetScenarios(t *testing.T) {
	for i, scenario := range FleetScenarios() {
		if raceEnabled && i%8 != 0 {
			continue
		}
		t.Run(testName(scenario.Name), func(t *testing.T) {
			t.Parallel()
			eachSeed(func(seed uint64) {
				playFleetParallel(t, scenario, shape.Tramites(), seed)
				playFleetParallel(t, scenario, shape.Atlas(), seed)
			})
		})
	}
}

func playFleetParallel(t *testing.T, scenario FleetScenario, shape shape.Shape, seed uint64) {
	t.Helper()
	t.Run(fmt.Sprint(shape.Name, "/", seed), func(t *testing.T) {
		t.Parallel()
		playFleet(t, scenario, shape, seed)
	})
}

func playFleet(t *testing.T, scenario FleetScenario, sh shape.Shape, seed uint64) {
	w := Run(scenario.Scenario(sh, seed))
	if w.onControlChange != nil {
		t.Error("the voter change during which a node was to be frozen never began")
	}
	for _, b := range w.Audit.Breaches {
		t.Error(b)
	}
	total := w.Report.Total()
	if total.Done < 100 {
		t.Errorf("only %d requests were completed", total.Done)
	}
	if scenario.NoFailures && total.Rejected+total.Lost+total.Partial+total.Unknown > 0 {
		t.Errorf("rejected %d, lost %d, partial %d, unknown %d, want none", total.Rejected, total.Lost, total.Partial, total.Unknown)
	}
	if puts(w.Scenario.Faults) && w.Report.PutsAccepted < 3 {
		t.Errorf("only %d configurations were accepted, %d rejected", w.Report.PutsAccepted, w.Report.PutsRejected)
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

func TestSameSeedRepeatsRun(t *testing.T) {
	if raceEnabled {
		t.Skip("a world runs in one goroutine, so that the run without the race detector covers it")
	}
	scenarios := FleetScenarios()
	scenario := scenarios[len(scenarios)-1]
	var runs [2]string
	for i := range runs {
		w := Run(scenario.Scenario(shape.Atlas(), 7))
		runs[i] = fmt.Sprint(w.Ran, w.Got, w.Net.Messages)
	}
	if runs[0] != runs[1] {
		t.Error("two runs with the same seed differ")
	}
}
