package router

import (
	"slices"
	"time"
)

// sentRequests remembers which requests were sent, up to max requests and for the time keep, so that non-idempotent ones are not sent twice.
type sentRequests struct {
	keep time.Duration
	max  int
	// seenAt is when a request was last sent; order contains the requests in the order in which they were first sent.
	seenAt map[string]time.Duration
	order  []string
}

func newSentRequests(keep time.Duration, limit int) *sentRequests {
	return &sentRequests{keep: keep, max: limit, seenAt: map[string]time.Duration{}}
}

func (s *sentRequests) has(now time.Duration, req string) bool {
	at, ok := s.seenAt[req]
	return ok && now-at < s.keep
}

func (s *sentRequests) add(now time.Duration, req string) {
	if _, ok := s.seenAt[req]; !ok {
		s.order = append(s.order, req)
	}
	s.seenAt[req] = now
	for len(s.order) > 0 && (len(s.order) > s.max || now-s.seenAt[s.order[0]] >= s.keep) {
		delete(s.seenAt, s.order[0])
		s.order = s.order[1:]
	}
}

// remove forgets a request that was rejected after its attempt was allowed to be sent but before it was.
func (s *sentRequests) remove(req string) {
	if _, ok := s.seenAt[req]; ok {
		delete(s.seenAt, req)
		s.order = slices.DeleteFunc(s.order, func(sent string) bool { return sent == req })
	}
}
