package sim

import (
	"strings"
	"testing"
)

// partOfGrown is the part of a grown site's machines, replicas and traffic that is played; all its disks are.
const partOfGrown = 0.25

// TestDisksAreLostWhileAllLosePower ends a day of the grown shapes with as many lost disks as they tolerate, all other machines without
// power at the same moment, those without a disk too.
func TestDisksAreLostWhileAllLosePower(t *testing.T) {
	found := 0
	for _, scenario := range SiteScenarios() {
		if !strings.HasPrefix(scenario.Name, "a disk is lost after the word") {
			continue
		}
		found++
		eachSeed(func(seed uint64) {
			playParallel(t, scenario, GrownTramitesSite(partOfGrown), seed)
			playParallel(t, scenario, GrownAtlasSite(partOfGrown), seed)
		})
	}
	if found != 1 {
		t.Errorf("%d scenarios", found)
	}
}
