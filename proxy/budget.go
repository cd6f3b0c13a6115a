package proxy

import (
	"sync"
	"sync/atomic"
)

// Budget bounds the bytes of bodies and held answers of all requests together.
type Budget struct {
	Limit    int64
	reserved atomic.Int64
}

// Reserve reserves n more bytes. What is alone may be larger than the bound.
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

// Reserved is how many bytes are reserved.
func (b *Budget) Reserved() int64 { return b.reserved.Load() }

// reservation is what one request holds of the budget.
type reservation struct {
	budget *Budget
	bytes  int
}

func (s *reservation) take(n int) bool {
	var ok bool
	if ok = s.budget.Reserve(n); ok {
		s.bytes += n
	}
	return ok
}

func (s *reservation) give(n int) {
	s.budget.Release(n)
	s.bytes -= n
}

const (
	// bufferBytes is the size of buffers that are used again; larger ones are made and left to the collector.
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

// Reserved is how many bytes of bodies and answers are held now.
func (p *Proxy) Reserved() int64 { return p.budget.Reserved() }
