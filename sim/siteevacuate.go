package sim

import (
	"time"

	"github.com/mallowbridge/mallowbridge/control"
)

// longestStay is the longest pause between an evacuation and its end.
const longestStay = 9 * time.Second

// evacuate closes a zone, or opens it again after its replicas need to warm up.
func (o *operators) evacuate(zone string, back bool) {
	o.evacuateThen(zone, back, func() {})
}

func (o *operators) evacuateThen(zone string, back bool, then func()) {
	r := o.s.rules
	delete(r.reopened, zone)
	if back {
		if e := r.evacs[zone]; e != nil {
			e.lifted = true
		}
		o.chill(zone)
	}
	o.send(&order{op: control.Evacuate{Zone: zone, Restore: back}, end: func(ok bool) {
		switch {
		case ok && back:
			delete(r.evacs, zone)
			r.reopened[zone] = true
		case ok:
			r.evacs[zone] = &evacuation{acked: o.s.w.Now}
		}
		then()
	}})
}

func (o *operators) chill(zone string) {
	for _, i := range o.s.instances {
		if i.up && i.Zone == zone && i.service.WarmupRate > 0 {
			i.chill()
		}
	}
}

// turns evacuates a zone and takes it back, again and again; each order follows the one before as soon as that is settled.
func (o *operators) turns(zone string, until time.Duration, back bool) {
	if o.s.w.Now >= until && !back {
		return
	}
	o.evacuateThen(zone, back, func() {
		pause := time.Duration(o.rng.Int64N(int64(longestStay)))
		o.s.w.After(pause, func() { o.turns(zone, until, !back) })
	})
}
