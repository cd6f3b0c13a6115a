package rehearsal

import (
	"fmt"
	"os"
	"path/filepath"
)

// Ports of each node. The nodes have different IP addresses. Internal ports range from firstPort to lastPort.
const (
	frontendPort  = 18161
	controlPort   = 18166
	readinessPort = 18167
	firstPort     = 17720
	lastPort      = 17735
)

// zoneCount is the number of zones.
const zoneCount = 3

// zoneOf returns the zone of the i-th node or replica.
func zoneOf(i int) string { return string(rune('a' + i%zoneCount)) }

// maxNodes is the largest number of nodes of a fleet.
const maxNodes = 252

// address returns the loopback address of the i-th node. It is derived from the lower 14 bits of the process id, so that concurrent rehearsals on one
// machine hardly ever share an address.
func address(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+i>>2, pid>>6&0xff, pid&0x3f<<2|i&3)
}

// diskDir returns the directory of a voter's disk; dir is that of the fleet.
func (n *node) diskDir(dir string) string { return filepath.Join(dir, n.name) }

// writeSettings writes the settings file of the i-th node; cloud is the address of the platform, and firstStart is set if the fleet has never
// run.
func (f *Fleet) writeSettings(i int, cloud string, firstStart bool) error {
	n := f.nodes[i]
	n.settings = filepath.Join(f.dir, n.name+".yaml")
	disk := ""
	if n.voter {
		disk = fmt.Sprintf("dataDirectory: %q\n", n.diskDir(f.dir))
	}
	text := fmt.Sprintf(`nodeName: %q
role: "node"
serves: ["frontend", "control_plane"]
ipAddress: %q
zone: %q
region: "r"
bindAddresses: {front: "%[2]s:%[4]d", readiness: "%[2]s:%[5]d", control: "%[2]s:%[6]d"}
internalPortRange: [%[7]d, %[8]d]
seedNodes: [%[9]q, %[10]q, %[11]q]
firstStart: %[12]t
countsTowardQuorum: %[13]t
faultTolerance: {machines: 1, zones: 1, regions: 0}
bounds: {gracePeriodS: %[14]d, retryBudgetRatio: 0.5, retryBudgetExtra: 4000, retryWindowS: 10, quotaWindowS: %[16]g, quotaOverage: %[17]g, quotaSlack: %[18]g}
cloudApi: {address: %[15]q, ratePerS: 40}
`, n.name, n.ip, zoneOf(i), frontendPort, readinessPort, controlPort, firstPort, lastPort, f.controlAddr(0), f.controlAddr(1), f.controlAddr(2),
		firstStart, n.voter, int(gracePeriod.Seconds()), cloud, quotaRule.Window.Seconds(), quotaRule.Overage, quotaRule.Slack) + disk
	return os.WriteFile(n.settings, []byte(text), 0o600)
}
