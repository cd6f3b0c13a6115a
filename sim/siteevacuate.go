package sim

import (
	"time"

	"github.com/mallowbridge/mallowbridge/control"
)

// maxEvacuationPause is the longest pause between an evacuation and its end, and between that and the next evacuation.
const maxEvacuationPause = 9 * time.Second

// evacuate evacuates a zone, or ends its evacuation, after which its replicas must warm up.
func (o *operators) evacuate(zone string, restore bool) {
	o.evacuateThen(zone, restore, func() {})
}

func (o *operators) evacuateThen(zone string, restore bool, onSettled func()) {
	r := o.s.rules
	delete(r.restored, zone)
	if restore {
		if e := r.evacuations[zone]; e != nil {
			e.restored = true
		}
		o.warmUpZone(zone)
	}
	o.send(&order{op: control.Evacuate{Zone: zone, Restore: restore}, onSettled: func(ok bool) {
		switch {
		case ok && restore:
			delete(r.evacuations, zone)
			r.restored[zone] = true
		case ok:
			r.evacuations[zone] = &evacuation{ackedAt: o.s.w.Now}
		}
		onSettled()
	}})
}

// warmUpZone starts a warm-up of all instances in a zone.
func (o *operators) warmUpZone(zone string) {
	for _, i := range o.s.instances {
		if i.up && i.Zone == zone && i.service.WarmupRate > 0 {
			i.startWarmup()
		}
	}
}

// evacuateRepeatedly evacuates a zone and ends the evacuation again and again, each order a random pause after the one before is settled.
func (o *operators) evacuateRepeatedly(zone string, until time.Duration, restore bool) {
	if o.s.w.Now >= until && !restore {
		return
	}
	o.evacuateThen(zone, restore, func() {
		pause := time.Duration(o.rng.Int64N(int64(maxEvacuationPause)))
		o.s.w.After(pause, func() { o.evacuateRepeatedly(zone, until, !restore) })
	})
}
