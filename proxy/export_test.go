package proxy

import "syscall"

// OnDial has f called before each connection to a replica is opened.
func (p *Proxy) OnDial(f func()) {
	p.pool.dialer.Control = func(network, address string, raw syscall.RawConn) error {
		f()
		return p.pool.control(network, address, raw)
	}
}

// StockLargeBuffers puts the largest buffers that are kept into the pool, as long answers leave them behind.
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
