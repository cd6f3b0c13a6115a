package mallowbridge

import (
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
	"github.com/mallowbridge/mallowbridge/scheduler"
)

func (r *Router) arrive(now time.Duration, e Arrive) (d Decision, answered bool) {
	deny := func(why string, repeat bool) (Decision, bool) {
		return Decision{Verdict: Deny, Request: e.Request, Why: why, After: time.Second, Repeat: repeat}, true
	}
	bad := func(why string) (Decision, bool) {
		return Decision{Verdict: Deny, Request: e.Request, Why: why, Bad: true}, true
	}
	if r.pic == nil {
		return deny("no picture yet", false)
	}
	if _, twice := r.asks[e.Request]; twice {
		return deny(runsHere, true)
	}
	if e.Offer == "" {
		return r.arriveRouted(now, e)
	}
	offer, ok := r.offers[e.Offer]
	if !ok {
		return bad("no such offer")
	}
	kind, ok := r.kinds[offer][kindKey{name: e.Kind}]
	o := &r.m.Services[offer]
	if !ok || o.Classes[kind].Gone {
		return bad("no such kind")
	}
	if !o.Classes[kind].Repeatable && r.once.had(now, e.Request) {
		return deny(scheduler.AlreadyRan, true)
	}
	parts, err := prefixindex.Parse(r.model(e.Offer), e.Prefix)
	if err != nil {
		return bad(err.Error())
	}
	id := r.m.Arrive(now, scheduler.Request{Service: offer, Class: kind, Parts: parts, Tail: e.tail(parts), Patience: e.Patience})
	r.asks[e.Request], r.names[id] = id, asked{request: e.Request}
	return d, false
}

const runsHere = "request is already running here"

// Had tells why a request that is sent again must not be denied as not run, or nothing.
func (r *Router) Had(offer, kind, request string) (why string) {
	if _, twice := r.asks[request]; twice {
		return runsHere
	}
	o, known := r.offers[offer]
	if !known {
		return ""
	}
	k, known := r.kinds[o][kindKey{name: kind}]
	if _, had := r.once.at[request]; had && known && !r.m.Services[o].Classes[k].Repeatable {
		return scheduler.AlreadyRan
	}
	return ""
}

func (r *Router) model(offer string) (model string) {
	for i := range r.pic.Charter.Offers {
		if r.pic.Charter.Offers[i].Name == offer {
			return r.pic.Charter.Offers[i].Model
		}
	}
	return ""
}
