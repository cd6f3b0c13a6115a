package proxy

import "time"

// expiryInterval is how often idle connections that are too old are closed.
const expiryInterval = time.Second

// scheduleExpiry makes closeExpired run once the expiry interval has passed. The caller must own the state of the pool.
func (p *Pool) scheduleExpiry() {
	if !p.expiryScheduled {
		p.expiryScheduled = true
		time.AfterFunc(expiryInterval, p.closeExpired)
	}
}

// closeExpired closes idle connections that are too old to be used, and schedules its next run while any idle connections are left.
func (p *Pool) closeExpired() {
	now := time.Now()
	state := <-p.state
	p.expiryScheduled = false
	for replica, conns := range state {
		kept := conns.idle[:0]
		for _, c := range conns.idle {
			if now.Before(c.usableUntil) {
				kept = append(kept, c)
				continue
			}
			_ = c.net.Close()
			conns.open--
		}
		clear(conns.idle[len(kept):])
		conns.idle = kept
		if conns.open <= 0 {
			delete(state, replica)
		}
		if len(kept) > 0 {
			p.scheduleExpiry()
		}
	}
	p.state <- state
}
