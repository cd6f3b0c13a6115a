package proxy

import (
	"sync"
	"sync/atomic"
)

// Budget bounds the total memory for bodies and buffered responses of all requests.
type Budget struct {
	// Limit is in bytes; 0 means no limit.
	Limit    int64
	reserved atomic.Int64
}

// Reserve reserves n more bytes and reports whether they fit. A single reservation may exceed the limit if there are no others.
func (b *Budget) Reserve(n int) bool {
	total := b.reserved.Add(int64(n))
	if b.Limit > 0 && total > b.Limit && total != int64(n) {
		b.reserved.Add(-int64(n))
		return false
	}
	return true
}

// Release returns n reserved bytes.
func (b *Budget) Release(n int) { b.reserved.Add(-int64(n)) }

// Reserved returns how many bytes are reserved.
func (b *Budget) Reserved() int64 { return b.reserved.Load() }

// reservation is the part of the budget that one request has reserved.
type reservation struct {
	budget *Budget
	bytes  int
}

func (r *reservation) reserve(n int) bool {
	var ok bool
	if ok = r.budget.Reserve(n); ok {
		r.bytes += n
	}
	return ok
}

func (r *reservation) release(n int) {
	r.budget.Release(n)
	r.bytes -= n
}

const (
	// bufferBytes is the initial size of pooled buffers. Buffers larger than maxPooledBytes are left to the garbage collector.
	bufferBytes    = 8 << 10
	maxPooledBytes = 64 << 10
)

type buffer struct{ b []byte }

var buffers = sync.Pool{New: func() any { return &buffer{b: make([]byte, 0, bufferBytes)} }}

func getBuffer() *buffer {
	b := buffers.Get().(*buffer)
	b.b = b.b[:0]
	return b
}

func putBuffer(b *buffer) {
	if b != nil && cap(b.b) <= maxPooledBytes {
		buffers.Put(b)
	}
}

// Reserved returns how many bytes of bodies and responses are reserved now.
func (p *Proxy) Reserved() int64 { return p.budget.Reserved() }
