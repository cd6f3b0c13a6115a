package proxy

import "syscall"

// OnDial has f called before each connection to a replica is opened.
func (p *Proxy) OnDial(f func()) {
	p.pool.dialer.Control = func(network, address string, raw syscall.RawConn) error {
		f()
		return p.pool.control(network, address, raw)
	}
}
