package proxy

import "time"

const sweepEvery = time.Second

// plan must be called by the owner of the shelves.
func (p *Pool) plan() {
	if !p.sweeps {
		p.sweeps = true
		time.AfterFunc(sweepEvery, p.sweep)
	}
}

func (p *Pool) sweep() {
	now := time.Now()
	all := <-p.owner
	p.sweeps = false
	for k, s := range all {
		kept := s.idle[:0]
		for _, c := range s.idle {
			if now.Before(c.until) {
				kept = append(kept, c)
				continue
			}
			_ = c.nc.Close()
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
