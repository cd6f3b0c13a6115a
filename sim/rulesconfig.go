package sim

import (
	"time"

	"github.com/mallowbridge/mallowbridge/config"
)

// version is one configuration that operators sent. It may be in force from then on, unless it was rejected.
type version struct {
	// revision is the number that the operators gave the configuration, base the revision of the configuration that it was made from.
	revision uint64
	doc      config.Config
	raw      []byte
	base     uint64
	// invalid is set if the configuration must be rejected.
	invalid bool
	sentAt  time.Duration
	ackedAt time.Duration
	// rejected is set if the configuration must not come into force: it is invalid, or it was clearly rejected.
	rejected bool
	// wasInForce is set if the configuration was in force at some time, reportedRejected if a node rejected it although it is valid.
	wasInForce, reportedRejected bool
	// routes caches the route for each path, nil if there is none.
	routes map[string]*config.Route
}

// versionFloor is a lower bound of the revision that one incarnation of a node applies. at is when the node was first seen to apply it or a later
// one.
type versionFloor struct {
	revision uint64
	at       time.Duration
}

func (r *rules) versionSent(v *version) {
	v.sentAt, v.routes = r.s.w.Now, map[string]*config.Route{}
	r.versions = append(r.versions, v)
}

func (v *version) route(path string) *config.Route {
	route, known := v.routes[path]
	if !known {
		route = routeFor(&v.doc, path)
		v.routes[path] = route
	}
	return route
}

// routeTo returns the route of a path if it leads to the service.
func (v *version) routeTo(path, service string) *config.Route {
	if route := v.route(path); route != nil {
		for _, s := range route.TrafficSplit {
			if s.Service == service && s.Weight > 0 {
				return route
			}
		}
	}
	return nil
}

// servicesFor returns the services to which any version routes the path.
func (r *rules) servicesFor(path string) []string {
	seen := map[string]bool{}
	var names []string
	for _, v := range r.versions {
		if route := v.route(path); route != nil && !v.rejected {
			for _, s := range route.TrafficSplit {
				if !seen[s.Service] {
					seen[s.Service] = true
					names = append(names, s.Service)
				}
			}
		}
	}
	return names
}

// dueRevision returns the oldest revision with which a request that was sent at the given time may be handled, if nodes must apply a version
// within the given time after its acknowledgement.
func (r *rules) dueRevision(sent, within time.Duration) uint64 {
	var revision uint64
	for _, v := range r.versions {
		if v.ackedAt > 0 && sent > v.ackedAt+within {
			revision = max(revision, v.revision)
		}
	}
	return revision
}

// versionRange contains the oldest and the newest version that explain how a node handled an attempt, nil if none does. rejected is set if a
// configuration that must not be in force explains it.
type versionRange struct {
	oldest, newest *version
	rejected       bool
}

// versionsWhere returns the range of versions for which the test holds.
func (r *rules) versionsWhere(test func(v *version) bool) versionRange {
	var found versionRange
	for _, v := range r.versions {
		if !test(v) {
			continue
		}
		if v.rejected {
			found.rejected = true
			continue
		}
		if found.oldest == nil || v.revision < found.oldest.revision {
			found.oldest = v
		}
		if found.newest == nil || v.revision > found.newest.revision {
			found.newest = v
		}
	}
	return found
}

// checkRoute checks that a configuration that may be in force routes the request to the instance's service and allows the number of its attempts.
func (r *rules) checkRoute(i *Instance, q *sentRequest) {
	c := q.client
	maxAttempts := 0
	versions := r.versionsWhere(func(v *version) bool {
		route := v.routeTo(c.path, i.service.Name)
		if route != nil && !v.rejected {
			maxAttempts = max(maxAttempts, route.MaxAttempts)
		}
		return route != nil
	})
	if versions.newest == nil {
		rule := RuleNoRoute
		if versions.rejected {
			rule = RuleInvalidAccepted
		}
		r.breach(rule, c.path, "%s arrived at %s from %s", c.id, i.service.Name, q.node.Name)
		return
	}
	if c.sends > maxAttempts {
		r.breach(RuleTooManyAttempts, c.id, "sent %d times, at most %d allowed", c.sends, maxAttempts)
	}
	bound, binding := r.applyBoundFor(q.node, q, r.s.spec.Bounds.Apply)
	r.checkApplied(q.node, c, versions, applyBound{bound, binding})
}

// applyBound bounds the time between the acknowledgement of a version and its application. within has no meaning unless binding is set.
type applyBound struct {
	within  time.Duration
	binding bool
}

// checkApplied compares the versions that explain how a node handled an attempt with the one that it must apply and with those that it applied
// before.
func (r *rules) checkApplied(n *Node, c *clientAttempt, versions versionRange, bound applyBound) {
	if due := r.dueRevision(c.sent, bound.within); bound.binding && versions.newest.revision < due {
		r.breach(RuleConfigNotApplied, c.path, "%s handled by %s as in revision %d, %d must be applied", c.id, n.Name, versions.newest.revision, due)
	}
	slack := oldVersionSlack
	if !r.undisturbed(n.Name, c.sent, r.s.w.Now) {
		slack *= 8
	}
	f := r.versionFloors[n.incarnation]
	if versions.newest.revision < f.revision && c.sent > f.at+slack {
		r.breach(RuleConfigWentBack, c.path, "%s handled by %s as in revision %d, after revision %d", c.id, n.Name, versions.newest.revision, f.revision)
	}
	if versions.oldest.revision > f.revision {
		r.versionFloors[n.incarnation] = versionFloor{revision: versions.oldest.revision, at: r.s.w.Now}
	}
}

// routeNotFound checks a node's response that there is no such route.
func (r *rules) routeNotFound(c *clientAttempt, n *Node) {
	versions := r.versionsWhere(func(v *version) bool { return v.route(c.path) == nil })
	q := &sentRequest{node: n, sent: r.s.w.Now, inTouch: r.inTouch(n, r.s.w.Now)}
	bound, binding := r.applyBoundFor(n, q, r.s.spec.Bounds.Apply)
	if versions.newest == nil {
		if binding && r.dueRevision(c.sent, bound) > 0 {
			r.breach(RuleWronglyRejected, c.path, "%s rejected by %s, though every version has the route", c.id, n.Name)
		}
		return
	}
	r.checkApplied(n, c, versions, applyBound{bound, binding})
}

// newestAcked returns the newest acknowledged version, or nil.
func (r *rules) newestAcked() *version {
	var v *version
	for _, candidate := range r.versions {
		if candidate.ackedAt > 0 && (v == nil || candidate.revision > v.revision) {
			v = candidate
		}
	}
	return v
}
