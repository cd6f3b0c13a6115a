package daemon

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/quota"
	"github.com/mallowbridge/mallowbridge/router"
)

// Settings are the settings of a daemon, from the settings file and the command line. ValidateSettings replaces numbers that are 0 by defaults.
type Settings struct {
	// Role is "core" for a node with a disk, which may be a voter, and "edge" for a node without one.
	Role string
	// Name is the name of the node, unique within the fleet.
	Name string
	// Listen is the address for other nodes, HTTP the address for clients and operators.
	Listen, HTTP string
	// Zone is the zone that the node runs in.
	Zone string
	// DataDir is the directory of the node's disk. It is empty for an edge.
	DataDir string
	// Seeds contains the addresses of nodes that this node contacts to join the fleet.
	Seeds []string
	// MaxBodyBytes is the maximum length of a request's body, MaxStreams the maximum number of concurrent requests, and Backlog the maximum number
	// of requests that wait for a replica.
	MaxBodyBytes, MaxStreams, Backlog int
	// DrainMs is how long running streams may continue after SIGTERM, in milliseconds.
	DrainMs  int
	Platform PlatformOptions
}

// PlatformOptions describe what the platform that the daemon runs on provides and requires. The zero value is for a daemon without a platform.
type PlatformOptions struct {
	// ReadDocument parses the operators' document. If it is nil, config.Documents.Read is used.
	ReadDocument config.Reader
	// ListReplicas reads the platform's list of replicas. It is called every ListInterval, or never if ListInterval is 0.
	ListReplicas func() ([]router.Instance, error)
	ListInterval time.Duration
	// The following fields are copied to control.Config, which describes them. ServesIsolated also sets the timeout after which the scheduler stops
	// serving without contact to the control loop.
	FaultTolerance             int
	Bootstraps, ServesIsolated bool
	HidesDocument              bool
	Quota                      quota.Rule
}

func (s Settings) withDefaults() Settings {
	full := s
	for _, d := range []struct {
		setting      *int
		defaultValue int
	}{{&full.MaxBodyBytes, 1 << 20}, {&full.MaxStreams, 1024}, {&full.Backlog, 256}, {&full.DrainMs, 10000}} {
		if *d.setting == 0 {
			*d.setting = d.defaultValue
		}
	}
	return full
}

// SettingsFileError reports that the settings file cannot be read.
type SettingsFileError struct {
	Path  string
	Cause error
}

func (e *SettingsFileError) Error() string { return "settings file " + e.Path + ": " + e.Cause.Error() }

// ReadSettings reads a settings file in JSON. Errors are *SettingsFileError and *config.InvalidError.
func ReadSettings(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	var s Settings
	if err != nil {
		return s, trace.Wrap(&SettingsFileError{Path: path, Cause: err})
	}
	d, err := config.NewDecoder(raw)
	if err != nil {
		return s, err
	}
	s.Name, s.Listen, s.HTTP = d.String("name", false, 64), d.String("listen", false, 64), d.String("http", false, 64)
	s.Zone, s.DataDir = d.String("domain", false, 64), d.String("data", false, 4096)
	for _, e := range d.List("seeds", 0, 16) {
		s.Seeds = append(s.Seeds, e.StringElement(64))
	}
	s.MaxBodyBytes = d.Int("maxBody", 0, 1, 64<<20)
	s.MaxStreams = d.Int("maxStreams", 0, 1, 1<<20)
	s.Backlog = d.Int("backlog", 0, 1, 1<<16)
	s.DrainMs = d.Int("drainMs", 0, 1, 600000)
	d.Close()
	return s, d.Err()
}

// Unwrap returns the cause.
func (e *SettingsFileError) Unwrap() error { return e.Cause }

// ValidateSettings returns the settings with defaults filled in. If they are invalid, it returns a *config.InvalidError with all violations.
func ValidateSettings(in Settings) (Settings, error) {
	s := in.withDefaults()
	var found violations
	s.checkNames(&found)
	s.checkAddresses(&found)
	s.checkNumbers(&found)
	if len(found) > 0 {
		return s, trace.Wrap(&config.InvalidError{Violations: found})
	}
	return s, nil
}

// violations collects the violations in settings.
type violations []config.Violation

func (v *violations) add(field, value, bound string) {
	*v = append(*v, config.Violation{Path: field, Value: fmt.Sprintf("%q", value), Requirement: bound})
}

func (s *Settings) checkNames(found *violations) {
	if s.Name == "" || len(s.Name) > 64 {
		found.add("name", s.Name, "1 to 64 bytes")
	}
	if s.Zone == "" || len(s.Zone) > 64 {
		found.add("domain", s.Zone, "1 to 64 bytes")
	}
	if s.Role == "core" && s.DataDir == "" {
		found.add("data", s.DataDir, "a folder, for a core")
	}
	if s.Role == "edge" && s.DataDir != "" {
		found.add("data", s.DataDir, "absent, for an edge")
	}
}

func (s *Settings) checkAddresses(found *violations) {
	for field, addr := range map[string]string{"listen": s.Listen, "http": s.HTTP} {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			found.add(field, addr, "an IP number and port")
		}
	}
	for i, addr := range s.Seeds {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			found.add(fmt.Sprintf("seeds[%d]", i), addr, "an IP number and port")
		}
	}
}

func (s *Settings) checkNumbers(found *violations) {
	for _, n := range []struct {
		field        string
		value, limit int
	}{{"maxBody", s.MaxBodyBytes, 64 << 20}, {"maxStreams", s.MaxStreams, 1 << 20}, {"backlog", s.Backlog, 1 << 16}, {"drainMs", s.DrainMs, 600000}} {
		if n.value < 1 || n.value > n.limit {
			found.add(n.field, fmt.Sprint(n.value), fmt.Sprintf("1 to %d", n.limit))
		}
	}
}
