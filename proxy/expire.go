package proxy

import "time"

const expireEvery = time.Second

// plan must be called by the owner of the state.
func (p *Pool) plan() {
	if !p.expiring {
		p.expiring = true
		time.AfterFunc(expireEvery, p.expire)
	}
}

func (p *Pool) expire() {
	now := time.Now()
	all := <-p.owner
	p.expiring = false
	for k, s := range all {
		kept := s.idle[:0]
		for _, c := range s.idle {
			if now.Before(c.usableUntil) {
				kept = append(kept, c)
				continue
			}
			_ = c.net.Close()
			s.open--
		}
		clear(s.idle[len(kept):])
		s.idle = kept
		if s.open <= 0 {
			delete(all, k)
		}
		if len(kept) > 0 {
			p.plan()
		}
	}
	p.owner <- all
}
