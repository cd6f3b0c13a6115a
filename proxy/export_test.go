package proxy

import "syscall"

// OnDial makes the proxy call f before it opens a connection to a replica.
func (p *Proxy) OnDial(f func()) {
	p.pool.dialer.Control = func(network, address string, raw syscall.RawConn) error {
		f()
		return p.pool.control(network, address, raw)
	}
}

// StockLargeBuffers adds n buffers of the maximum size to the pool, as long responses do.
func StockLargeBuffers(n int) {
	for range n {
		putBuffer(&buffer{b: make([]byte, 0, maxPooledBytes)})
	}
}

// CloseClients closes the sockets of all clients, as the kernel does when the process is killed.
func (p *Proxy) CloseClients() {
	all := <-p.clients
	for c := range all {
		_ = c.TCPConn.Close()
	}
	p.clients <- all
}
