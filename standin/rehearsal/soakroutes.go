package rehearsal

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// Paths of the routes whose type changes: streams that may be resumed at times, and answers that are no streams and may be repeated at times.
const (
	turningStreamPath = "/turning-streams/"
	turningPlainPath  = "/turning-plain/"
)

// soakPaths are those that clients of a soak ask for.
var soakPaths = []string{resumablePath, oncePath, plainPath, turningStreamPath, turningPlainPath}

const (
	// longestRouteSeries is how many changes of the routes follow each other at once, routePause bounds the pause between two series.
	longestRouteSeries = 8
	routePause         = 6 * time.Second
	// routeGap bounds the pause between two changes of a series.
	routeGap = 120 * time.Millisecond
)

// routeVersion is a revision of the document, with when it was first sent and when it was acknowledged, in milliseconds since 1970.
type routeVersion struct {
	sentMs, takenMs int64
	// repeatable tells by path whether requests may run more than once.
	repeatable map[string]bool
}

// soakRoutes changes the types of routes, and adds and removes some, in series.
type soakRoutes struct {
	rng      *rand.Rand
	left     int
	versions []routeVersion
}

func newSoakRoutes(rng *rand.Rand) *soakRoutes {
	s := &soakRoutes{rng: rng}
	s.draw()
	s.taken(1)
	return s
}

// first is the document of the first revision.
func (s *soakRoutes) first() string { return s.document(1, s.versions[0].repeatable) }

func (s *soakRoutes) draw() map[string]bool {
	repeatable := map[string]bool{
		resumablePath: true, oncePath: false, plainPath: true, turningStreamPath: s.rng.IntN(2) == 0, turningPlainPath: s.rng.IntN(2) == 0,
	}
	s.versions = append(s.versions, routeVersion{sentMs: time.Now().UnixMilli(), repeatable: repeatable})
	return repeatable
}

func (s *soakRoutes) document(revision uint64, repeatable map[string]bool) string {
	kind := "unsafe"
	if repeatable[turningPlainPath] {
		kind = "safe"
	}
	routes := append(usualRoutes(),
		route("turning-streams", turningStreamPath, "streaming", "1", strconv.FormatBool(repeatable[turningStreamPath])),
		route("turning-plain", turningPlainPath, kind, "2", "false"))
	for added := range s.rng.IntN(4) {
		name := "added-" + strconv.Itoa(added)
		routes = append(routes, route(name, "/"+name+"/", "safe", "3", "false"))
	}
	return document(revision, nil, routes)
}

func (s *soakRoutes) next(revision uint64) (string, time.Duration) {
	pause := time.Duration(s.rng.Int64N(int64(routeGap)))
	if s.left == 0 {
		s.left = 1 + s.rng.IntN(longestRouteSeries)
		pause = time.Duration(s.rng.Int64N(int64(routePause)))
	}
	s.left--
	return s.document(revision, s.draw()), pause
}

func (s *soakRoutes) taken(revision uint64) {
	s.versions[revision-1].takenMs = time.Now().UnixMilli()
}

// mayRepeat tells whether a version that may have been in force at a request's arrival lets it run more than once. A version is out of force
// once a later one was acknowledged applyTime before.
func (s *soakRoutes) mayRepeat(path string, fromMs, untilMs int64) bool {
	for i := len(s.versions) - 1; i >= 0; i-- {
		v := s.versions[i]
		if v.sentMs > untilMs {
			continue
		}
		if v.repeatable[path] {
			return true
		}
		if v.takenMs > 0 && v.takenMs+applyTime.Milliseconds() < fromMs {
			return false
		}
	}
	return false
}
