package sim

import (
	"errors"
	"fmt"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/register"
)

// configContent contains the replicas and request classes of a configuration that an operator sent. Unless it was rejected, it may be in force
// from the time at which it was sent.
type configContent struct {
	version  uint64
	accepted bool
	rejected bool
	// classes maps each request class, as service/class, to whether it is idempotent.
	classes  map[string]bool
	replicas map[string]config.Replica
}

// configSent records a configuration that an operator sends; expect is the version that it is to replace.
func (a *Audit) configSent(expect uint64, body []byte) *configContent {
	parsed, err := config.Read(body)
	if err != nil {
		panic(err)
	}
	c := &configContent{version: expect + 1, classes: map[string]bool{}, replicas: map[string]config.Replica{}}
	for _, service := range parsed.Services {
		for _, class := range service.Classes {
			c.classes[service.Name+"/"+class.Name] = class.Idempotent
		}
		for _, r := range service.Replicas {
			c.replicas[r.Name] = r
		}
	}
	a.configContents = append(a.configContents, c)
	return c
}

// setOutcome records the result of the put. Only a conflict or a missing quorum excludes that the configuration comes into force.
func (c *configContent) setOutcome(a control.Answer) {
	var conflict *register.ConflictError
	var unreached *register.NoQuorumError
	c.accepted = a.Err == nil
	c.rejected = errors.As(a.Err, &conflict) || errors.As(a.Err, &unreached)
}

// possiblyInForce returns the configurations that a node may apply if it must have applied version due: the newest accepted one up to due, and
// all later ones that were not rejected.
func (a *Audit) possiblyInForce(due uint64) []*configContent {
	var base *configContent
	var cs []*configContent
	for _, c := range a.configContents {
		switch {
		case c.rejected:
		case c.version > due:
			cs = append(cs, c)
		case c.accepted && (base == nil || c.version > base.version):
			base = c
		}
	}
	if base != nil {
		cs = append(cs, base)
	}
	return cs
}

// checkContents checks that a configuration that may be in force allows the attempt.
func (a *Audit) checkContents(f *fleetRequest, c *fleetConn, due uint64) {
	allowed, repeatable, zoneAllowed := false, false, false
	for _, candidate := range a.possiblyInForce(due) {
		idempotent, known := candidate.classes[f.request.Class.Service+"/"+f.request.Class.Name]
		replica, has := candidate.replicas[c.replica.Name]
		if !known || !has || replica.Role == "prefill" {
			continue
		}
		allowed = true
		repeatable = repeatable || idempotent
		evacuated, isEvacuated := a.evacuatedAt[replica.Zone]
		zoneAllowed = zoneAllowed || !isEvacuated || !a.overdue(f.n, evacuated, fleetEvacuateWithin)
	}
	switch {
	case !allowed:
		var versions []uint64
		for _, candidate := range a.possiblyInForce(due) {
			versions = append(versions, candidate.version)
		}
		a.breach(ConfigNotApplied, f.n.Name, fmt.Sprintf("class %s to replica %s, node has version %d, must have %d, possibly in force: %d", f.request.Class.Name, c.replica.Name, f.n.router.Version(), due, versions))
	case !zoneAllowed:
		a.breach(ToEvacuated, c.replica.Name, f.n.Name)
	}
	if f.attempts > 1 && allowed && !repeatable {
		a.breach(RetriedNonIdempotent, f.request.ID, f.n.Name)
	}
}
