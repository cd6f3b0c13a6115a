package proxy

import "github.com/mallowbridge/mallowbridge/config"

// acceptedUnderOtherLimits reports whether any limit of connections has changed since the connection was accepted. The limit of body bytes
// is not one of them, as it is read anew for each request.
func (c *client) acceptedUnderOtherLimits(inForce config.Limits) bool {
	accepted := c.limits
	accepted.BodyBytes = inForce.BodyBytes
	return accepted != inForce
}

// LimitsChanged closes client connections that were accepted under other limits, so that the clients' next requests are subject to the
// limits in force: idle connections at once, those in use after their next response.
func (p *Proxy) LimitsChanged() {
	inForce := p.limits()
	clients := <-p.clients
	for c := range clients {
		if c.acceptedUnderOtherLimits(inForce) {
			c.closeIdle()
		}
	}
	p.clients <- clients
}
