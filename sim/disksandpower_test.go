package sim

import (
	"strings"
	"testing"
)

// grownRatio is the share of a large site's machines, replicas and traffic that is simulated. All machines with a disk are simulated.
const grownRatio = 0.25

// TestDisksAreLostWhileAllLosePower ends a run of the large sites with the loss of as many disks as they tolerate, while all other machines,
// also those without a disk, lose power at the same time.
func TestDisksAreLostWhileAllLosePower(t *testing.T) {
	found := 0
	for _, scenario := range SiteScenarios() {
		if !strings.HasPrefix(scenario.Name, "a disk is lost after the word") {
			continue
		}
		found++
		eachSeed(func(seed uint64) {
			playParallel(t, scenario, GrownTramitesSite(grownRatio), seed)
			playParallel(t, scenario, GrownAtlasSite(grownRatio), seed)
		})
	}
	if found != 1 {
		t.Errorf("found %d scenarios with lost disks, want 1", found)
	}
}
