package sim

import (
	"errors"
	"fmt"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/register"
)

// content is what one configuration allows. It may be in force from the moment that it was sent, unless it was denied.
type content struct {
	version  uint64
	accepted bool
	denied   bool
	classes  map[string]bool
	replicas map[string]config.Replica
}

func (a *Audit) offered(expect uint64, body []byte) *content {
	ch, err := config.Read(body)
	if err != nil {
		panic(err)
	}
	c := &content{version: expect + 1, classes: map[string]bool{}, replicas: map[string]config.Replica{}}
	for _, o := range ch.Services {
		for _, k := range o.Classes {
			c.classes[o.Name+"/"+k.Name] = k.Repeatable
		}
		for _, r := range o.Replicas {
			c.replicas[r.Name] = r
		}
	}
	a.contents = append(a.contents, c)
	return c
}

func (c *content) answered(a control.Answer) {
	var conflict *register.ConflictError
	var unreached *register.NoQuorumError
	c.accepted = a.Err == nil
	c.denied = errors.As(a.Err, &conflict) || errors.As(a.Err, &unreached)
}

func (a *Audit) inForce(due uint64) []*content {
	var base *content
	var cs []*content
	for _, c := range a.contents {
		switch {
		case c.denied:
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

func (a *Audit) appliesContents(f *fleetRequest, c *fleetConn, due uint64) {
	listed, repeatable, kept := false, false, false
	for _, x := range a.inForce(due) {
		repeated, known := x.classes[f.ask.Class.Service+"/"+f.ask.Class.Name]
		replica, has := x.replicas[c.replica.Name]
		if !known || !has || replica.Role == "prefill" {
			continue
		}
		listed = true
		repeatable = repeatable || repeated
		empty, emptied := a.evacuatedAt[replica.Zone]
		kept = kept || !emptied || !a.late(f.n, empty, emptyWithin)
	}
	switch {
	case !listed:
		var versions []uint64
		for _, x := range a.inForce(due) {
			versions = append(versions, x.version)
		}
		a.breach(ConfigNotApplied, f.n.Name, fmt.Sprintf("%s on %s, mark %d, due %d, in force %d", f.ask.Class.Name, c.replica.Name, f.n.router.Version(), due, versions))
	case !kept:
		a.breach(ToEvacuated, c.replica.Name, f.n.Name)
	}
	if f.attempts > 1 && listed && !repeatable {
		a.breach(RetriedNonIdempotent, f.ask.ID, f.n.Name)
	}
}
