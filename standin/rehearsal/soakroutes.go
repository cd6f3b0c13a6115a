package rehearsal

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// Path prefixes of the routes whose type changes: streams that may be resumed in some revisions, and responses that are not streams and may be
// retried in some revisions.
const (
	changingStreamPath = "/turning-streams/"
	changingPlainPath  = "/turning-plain/"
)

// soakPaths are the path prefixes that clients of a soak request.
var soakPaths = []string{resumablePath, oncePath, plainPath, changingStreamPath, changingPlainPath}

const (
	// maxRouteSeries is the largest number of changes of the routes in a series, maxRouteSeriesPause bounds the pause between two series.
	maxRouteSeries      = 8
	maxRouteSeriesPause = 6 * time.Second
	// maxRouteChangePause bounds the pause between two changes of a series.
	maxRouteChangePause = 120 * time.Millisecond
)

// routeVersion is a revision of the document with the times at which it was first sent and at which it was acknowledged (0: not yet), both in Unix
// milliseconds.
type routeVersion struct {
	sentMs, acknowledgedMs int64
	// repeatable reports, by path prefix, whether requests may run more than once.
	repeatable map[string]bool
}

// soakRoutes is a documentSource that changes the types of routes and adds and removes routes, in series.
type soakRoutes struct {
	rng *rand.Rand
	// seriesLeft is the number of changes that are left in the current series.
	seriesLeft int
	// versions contains revision n at index n-1.
	versions []routeVersion
}

// newSoakRoutes returns routes whose first revision is recorded as acknowledged.
func newSoakRoutes(rng *rand.Rand) *soakRoutes {
	s := &soakRoutes{rng: rng}
	s.drawVersion()
	s.acknowledged(1)
	return s
}

// first returns the document of the first revision.
func (s *soakRoutes) first() string { return s.document(1, s.versions[0].repeatable) }

// drawVersion draws the route types of the next revision, records the version and returns which path prefixes are repeatable.
func (s *soakRoutes) drawVersion() map[string]bool {
	repeatable := map[string]bool{
		resumablePath: true, oncePath: false, plainPath: true, changingStreamPath: s.rng.IntN(2) == 0, changingPlainPath: s.rng.IntN(2) == 0,
	}
	s.versions = append(s.versions, routeVersion{sentMs: time.Now().UnixMilli(), repeatable: repeatable})
	return repeatable
}

// document returns the document of a revision. It also has up to three routes at random that no client uses.
func (s *soakRoutes) document(revision uint64, repeatable map[string]bool) string {
	plainType := "unsafe"
	if repeatable[changingPlainPath] {
		plainType = "safe"
	}
	routes := append(commonRoutes(),
		route("turning-streams", changingStreamPath, "streaming", "1", strconv.FormatBool(repeatable[changingStreamPath])),
		route("turning-plain", changingPlainPath, plainType, "2", "false"))
	for added := range s.rng.IntN(4) {
		name := "added-" + strconv.Itoa(added)
		routes = append(routes, route(name, "/"+name+"/", "safe", "3", "false"))
	}
	return document(revision, nil, routes)
}

func (s *soakRoutes) next(revision uint64) (string, time.Duration) {
	pause := time.Duration(s.rng.Int64N(int64(maxRouteChangePause)))
	if s.seriesLeft == 0 {
		s.seriesLeft = 1 + s.rng.IntN(maxRouteSeries)
		pause = time.Duration(s.rng.Int64N(int64(maxRouteSeriesPause)))
	}
	s.seriesLeft--
	return s.document(revision, s.drawVersion()), pause
}

func (s *soakRoutes) acknowledged(revision uint64) {
	s.versions[revision-1].acknowledgedMs = time.Now().UnixMilli()
}

// mayRepeat reports whether a request that was sent at fromMs and ended at untilMs may run more than once, because a version that may have been in
// force in that time allows it. A version is out of force once a later one was acknowledged maxApplyTime earlier.
func (s *soakRoutes) mayRepeat(path string, fromMs, untilMs int64) bool {
	for i := len(s.versions) - 1; i >= 0; i-- {
		v := s.versions[i]
		if v.sentMs > untilMs {
			continue
		}
		if v.repeatable[path] {
			return true
		}
		if v.acknowledgedMs > 0 && v.acknowledgedMs+maxApplyTime.Milliseconds() < fromMs {
			return false
		}
	}
	return false
}
