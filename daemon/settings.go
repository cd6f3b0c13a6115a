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

// Settings are the daemon's settings file and command line: the role ("core" or "edge") and name of the node, the addresses of the node
// protocol (Listen) and the public side (HTTP), its zone, the folder of its disk and its seeds' addresses. MaxBody is in bytes, Backlog the
// most requests that wait, DrainMs how long streams may go on after SIGTERM, in milliseconds. 0 stands for a default.
type Settings struct {
	Role, Name, Listen, HTTP, Zone, Data string
	Seeds                                []string
	MaxBody, MaxStreams, Backlog         int
	DrainMs                              int
	Host                                 Host
}

// Host is what the platform that the daemon runs on provides and asks for; its zero value is the product on its own.
type Host struct {
	// Read reads the operators' document; nil: config.Documents.Read.
	Read config.Reader
	// List reads the platform's list of replicas every ListEvery; nil: there is none.
	List      func() ([]router.Instance, error)
	ListEvery time.Duration
	// FaultTolerance, Bootstraps and ServesIsolated: see control.Config.
	FaultTolerance             int
	Bootstraps, ServesIsolated bool
	// HidesDocument: see control.Config.
	HidesDocument bool
	// Quota: see control.Config.
	Quota quota.Rule
}

func (s Settings) withDefaults() Settings {
	full := s
	for _, d := range []struct {
		at  *int
		def int
	}{{&full.MaxBody, 1 << 20}, {&full.MaxStreams, 1024}, {&full.Backlog, 256}, {&full.DrainMs, 10000}} {
		if *d.at == 0 {
			*d.at = d.def
		}
	}
	return full
}

// FileError says why the settings file cannot be read.
type FileError struct {
	Path  string
	Cause error
}

func (e *FileError) Error() string { return "settings file " + e.Path + ": " + e.Cause.Error() }

// ReadSettings reads a settings file. It fails with a FileError or a config.InvalidError.
func ReadSettings(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	var s Settings
	if err != nil {
		return s, trace.Wrap(&FileError{Path: path, Cause: err})
	}
	d, err := config.NewDecoder(raw)
	if err != nil {
		return s, err
	}
	s.Name, s.Listen, s.HTTP = d.String("name", false, 64), d.String("listen", false, 64), d.String("http", false, 64)
	s.Zone, s.Data = d.String("domain", false, 64), d.String("data", false, 4096)
	for _, e := range d.List("seeds", 0, 16) {
		s.Seeds = append(s.Seeds, e.StringElement(64))
	}
	s.MaxBody = d.Int("maxBody", 0, 1, 64<<20)
	s.MaxStreams = d.Int("maxStreams", 0, 1, 1<<20)
	s.Backlog = d.Int("backlog", 0, 1, 1<<16)
	s.DrainMs = d.Int("drainMs", 0, 1, 600000)
	d.Close()
	return s, d.Err()
}

// Unwrap gives the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// Check fills in defaults and checks the settings. It fails with a config.InvalidError that lists all violations.
func Check(in Settings) (Settings, error) {
	s := in.withDefaults()
	var bad violations
	s.checkNames(&bad)
	s.checkAddresses(&bad)
	s.checkNumbers(&bad)
	if len(bad) > 0 {
		return s, trace.Wrap(&config.InvalidError{Violations: bad})
	}
	return s, nil
}

// violations are what is wrong with settings.
type violations []config.Violation

func (v *violations) add(field, val, bound string) {
	*v = append(*v, config.Violation{Path: field, Value: fmt.Sprintf("%q", val), Requirement: bound})
}

func (s *Settings) checkNames(bad *violations) {
	if s.Name == "" || len(s.Name) > 64 {
		bad.add("name", s.Name, "1 to 64 bytes")
	}
	if s.Zone == "" || len(s.Zone) > 64 {
		bad.add("domain", s.Zone, "1 to 64 bytes")
	}
	if s.Role == "core" && s.Data == "" {
		bad.add("data", s.Data, "a folder, for a core")
	}
	if s.Role == "edge" && s.Data != "" {
		bad.add("data", s.Data, "absent, for an edge")
	}
}

func (s *Settings) checkAddresses(bad *violations) {
	for field, addr := range map[string]string{"listen": s.Listen, "http": s.HTTP} {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			bad.add(field, addr, "an IP number and port")
		}
	}
	for i, addr := range s.Seeds {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			bad.add(fmt.Sprintf("seeds[%d]", i), addr, "an IP number and port")
		}
	}
}

func (s *Settings) checkNumbers(bad *violations) {
	for _, n := range []struct {
		field      string
		val, limit int
	}{{"maxBody", s.MaxBody, 64 << 20}, {"maxStreams", s.MaxStreams, 1 << 20}, {"backlog", s.Backlog, 1 << 16}, {"drainMs", s.DrainMs, 600000}} {
		if n.val < 1 || n.val > n.limit {
			bad.add(n.field, fmt.Sprint(n.val), fmt.Sprintf("1 to %d", n.limit))
		}
	}
}
