package mallowbridge

import (
	"slices"
	"time"
)

type once struct {
	keep time.Duration
	max  int
	at   map[string]time.Duration
	line []string
}

func newOnce(keep time.Duration, max int) (o *once) {
	return &once{keep: keep, max: max, at: map[string]time.Duration{}}
}

func (o *once) had(now time.Duration, req string) (yes bool) {
	at, ok := o.at[req]
	return ok && now-at < o.keep
}

func (o *once) note(now time.Duration, req string) {
	if _, ok := o.at[req]; !ok {
		o.line = append(o.line, req)
	}
	o.at[req] = now
	for len(o.line) > 0 && (len(o.line) > o.max || now-o.at[o.line[0]] >= o.keep) {
		delete(o.at, o.line[0])
		o.line = o.line[1:]
	}
}

// drop forgets an id whose go was permitted and yet denied before it left.
func (o *once) drop(req string) {
	if _, ok := o.at[req]; ok {
		delete(o.at, req)
		o.line = slices.DeleteFunc(o.line, func(r string) bool { return r == req })
	}
}
