package proxy

import "github.com/mallowbridge/mallowbridge/config"

// outdated tells whether the connection was accepted under limits of a connection that are not those in force.
func (c *client) outdated(inForce config.Limits) bool {
	former := c.limits
	former.BodyBytes = inForce.BodyBytes
	return former != inForce
}

// LimitsChanged ends kept connections that were accepted under other limits, so that clients' next requests come under those in force: idle ones
// at once, those in use with their next answer.
func (p *Proxy) LimitsChanged() {
	inForce := p.limits()
	all := <-p.clients
	for c := range all {
		if c.outdated(inForce) {
			c.closeIdle()
		}
	}
	p.clients <- all
}
