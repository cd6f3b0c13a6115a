package sim

import (
	"time"

	"github.com/mallowbridge/mallowbridge/config"
)

// A version is one document that operators sent. It may be in force from then on, unless it was refused.
type version struct {
	revision uint64
	doc      config.Config
	raw      []byte
	base     uint64
	flawed   bool
	offered  time.Duration
	acked    time.Duration
	refused  bool
	// seen says that it was in force at some time; denied that an operator was told that another is.
	seen, denied bool
	routes       map[string]*config.Route
}

// A floor is the least version that a life of a node has shown to obey, and since when.
type versionFloor struct {
	revision uint64
	at       time.Duration
}

func (r *rules) offered(v *version) {
	v.offered, v.routes = r.s.w.Now, map[string]*config.Route{}
	r.versions = append(r.versions, v)
}

func (v *version) route(path string) *config.Route {
	rt, known := v.routes[path]
	if !known {
		rt = routeFor(&v.doc, path)
		v.routes[path] = rt
	}
	return rt
}

func (v *version) allows(path, service string) *config.Route {
	if rt := v.route(path); rt != nil {
		for _, s := range rt.TrafficSplit {
			if s.Service == service && s.Weight > 0 {
				return rt
			}
		}
	}
	return nil
}

// offers are those that any version sends the path to.
func (r *rules) offers(path string) []string {
	seen := map[string]bool{}
	var names []string
	for _, v := range r.versions {
		if rt := v.route(path); rt != nil && !v.refused {
			for _, s := range rt.TrafficSplit {
				if !seen[s.Service] {
					seen[s.Service] = true
					names = append(names, s.Service)
				}
			}
		}
	}
	return names
}

// due is the newest version that a request sent then must be handled by, or by a later one.
func (r *rules) due(sent, within time.Duration) uint64 {
	var revision uint64
	for _, v := range r.versions {
		if v.acked > 0 && sent > v.acked+within {
			revision = max(revision, v.revision)
		}
	}
	return revision
}

// versionRange is the least and the newest version that explain what a node did, nil where none does. refused says that a document which
// must not be taken explains it.
type versionRange struct {
	least, latest *version
	refused       bool
}

// handled finds the versions that handle a request as it was.
func (r *rules) handled(test func(v *version) bool) versionRange {
	var found versionRange
	for _, v := range r.versions {
		if !test(v) {
			continue
		}
		if v.refused {
			found.refused = true
			continue
		}
		if found.least == nil || v.revision < found.least.revision {
			found.least = v
		}
		if found.latest == nil || v.revision > found.latest.revision {
			found.latest = v
		}
	}
	return found
}

func (r *rules) config(i *Instance, q *sentRequest) {
	c := q.try
	most := 0
	versions := r.handled(func(v *version) bool {
		rt := v.allows(c.path, i.service.Name)
		if rt != nil && !v.refused {
			most = max(most, rt.MaxAttempts)
		}
		return rt != nil
	})
	if versions.latest == nil {
		what := RuleNoRoute
		if versions.refused {
			what = RuleInvalidAccepted
		}
		r.breach(what, c.path, "%s at %s from %s", c.id, i.service.Name, q.n.Name)
		return
	}
	if c.passes > most {
		r.breach(RuleTooManyAttempts, c.id, "%d, at most %d", c.passes, most)
	}
	bound, must := r.within(q.n, q, r.s.spec.Bounds.Apply)
	r.obeyed(q.n, c, versions, applyBound{bound, must})
}

// applyBound is how long after its acknowledgement a version may still not be obeyed; it binds only where must is set.
type applyBound struct {
	within time.Duration
	must   bool
}

// obeyed compares the versions that explain how a node handled a try with what it must obey and with what it obeyed before.
func (r *rules) obeyed(n *Node, c *clientAttempt, versions versionRange, bound applyBound) {
	if due := r.due(c.sent, bound.within); bound.must && versions.latest.revision < due {
		r.breach(RuleConfigNotApplied, c.path, "%s by %s as in revision %d, %d is due", c.id, n.Name, versions.latest.revision, due)
	}
	slack := backSlack
	if !r.still(n.Name, c.sent, r.s.w.Now) {
		slack *= 8
	}
	f := r.lowestVersions[n.incarnation]
	if versions.latest.revision < f.revision && c.sent > f.at+slack {
		r.breach(RuleConfigWentBack, c.path, "%s by %s as in revision %d, after %d", c.id, n.Name, versions.latest.revision, f.revision)
	}
	if versions.least.revision > f.revision {
		r.lowestVersions[n.incarnation] = versionFloor{revision: versions.least.revision, at: r.s.w.Now}
	}
}

// unknown judges a node's word that there is no such route.
func (r *rules) unknown(c *clientAttempt, n *Node) {
	versions := r.handled(func(v *version) bool { return v.route(c.path) == nil })
	q := &sentRequest{n: n, sent: r.s.w.Now, calm: r.inTouch(n, r.s.w.Now)}
	bound, must := r.within(n, q, r.s.spec.Bounds.Apply)
	if versions.latest == nil {
		if must && r.due(c.sent, bound) > 0 {
			r.breach(RuleWronglyRejected, c.path, "%s by %s, every version has the route", c.id, n.Name)
		}
		return
	}
	r.obeyed(n, c, versions, applyBound{bound, must})
}

func (r *rules) newest() *version {
	var v *version
	for _, o := range r.versions {
		if o.acked > 0 && (v == nil || o.revision > v.revision) {
			v = o
		}
	}
	return v
}
