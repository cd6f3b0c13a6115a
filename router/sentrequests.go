package router

import (
	"slices"
	"time"
)

// sentRequests knows which requests were sent, the newest up to a number and an age: those that may not be repeated are not sent again.
type sentRequests struct {
	keep   time.Duration
	max    int
	seenAt map[string]time.Duration
	order  []string
}

func newRequestMemory(keep time.Duration, limit int) *sentRequests {
	return &sentRequests{keep: keep, max: limit, seenAt: map[string]time.Duration{}}
}

func (o *sentRequests) has(now time.Duration, req string) bool {
	at, ok := o.seenAt[req]
	return ok && now-at < o.keep
}

func (o *sentRequests) add(now time.Duration, req string) {
	if _, ok := o.seenAt[req]; !ok {
		o.order = append(o.order, req)
	}
	o.seenAt[req] = now
	for len(o.order) > 0 && (len(o.order) > o.max || now-o.seenAt[o.order[0]] >= o.keep) {
		delete(o.seenAt, o.order[0])
		o.order = o.order[1:]
	}
}

// remove forgets a request whose attempt was permitted and yet rejected before it was sent.
func (o *sentRequests) remove(req string) {
	if _, ok := o.seenAt[req]; ok {
		delete(o.seenAt, req)
		o.order = slices.DeleteFunc(o.order, func(r string) bool { return r == req })
	}
}
