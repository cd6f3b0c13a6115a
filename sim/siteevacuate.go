package sim

import (
	"time"

	"github.com/mallowbridge/mallowbridge/control"
)

// longestStay is the longest pause between an evacuation and its end.
const longestStay = 9 * time.Second

// evacuate closes a domain, or opens it again after its replicas turned cold.
func (o *operators) evacuate(domain string, back bool) {
	o.evacuateThen(domain, back, func() {})
}

func (o *operators) evacuateThen(domain string, back bool, then func()) {
	r := o.s.rules
	delete(r.reopened, domain)
	if back {
		if e := r.evacs[domain]; e != nil {
			e.lifted = true
		}
		o.chill(domain)
	}
	o.send(&order{op: control.Evacuate{Zone: domain, Restore: back}, end: func(ok bool) {
		switch {
		case ok && back:
			delete(r.evacs, domain)
			r.reopened[domain] = true
		case ok:
			r.evacs[domain] = &evacuation{acked: o.s.w.now}
		}
		then()
	}})
}

func (o *operators) chill(domain string) {
	for _, i := range o.s.instances {
		if i.up && i.Domain == domain && i.offer.ColdRate > 0 {
			i.chill()
		}
	}
}

// turns evacuates a domain and takes it back, again and again; each order follows the one before as soon as that is settled.
func (o *operators) turns(domain string, until time.Duration, back bool) {
	if o.s.w.now >= until && !back {
		return
	}
	o.evacuateThen(domain, back, func() {
		pause := time.Duration(o.rng.Int64N(int64(longestStay)))
		o.s.w.after(pause, func() { o.turns(domain, until, !back) })
	})
}
