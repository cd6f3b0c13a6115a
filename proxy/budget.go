package proxy

import (
	"sync"
	"sync/atomic"
)

// Budget bounds the bytes of bodies and held answers of all requests together.
type Budget struct {
	Bound int64
	held  atomic.Int64
}

// Take reserves n more bytes. What is alone may be larger than the bound.
func (b *Budget) Take(n int) bool {
	held := b.held.Add(int64(n))
	if b.Bound > 0 && held > b.Bound && held != int64(n) {
		b.held.Add(-int64(n))
		return false
	}
	return true
}

// Give returns n reserved bytes.
func (b *Budget) Give(n int) { b.held.Add(-int64(n)) }

// Held is how many bytes are reserved.
func (b *Budget) Held() int64 { return b.held.Load() }

// share is what one request holds of the budget.
type share struct {
	of   *Budget
	held int
}

func (s *share) take(n int) bool {
	var ok bool
	if ok = s.of.Take(n); ok {
		s.held += n
	}
	return ok
}

func (s *share) give(n int) {
	s.of.Give(n)
	s.held -= n
}

const (
	// pooled is the room of buffers that are used again; larger ones are made and left to the collector.
	pooled     = 8 << 10
	mostPooled = 64 << 10
)

type buffer struct{ b []byte }

var buffers = sync.Pool{New: func() any { return &buffer{b: make([]byte, 0, pooled)} }}

func getBuffer() *buffer {
	b := buffers.Get().(*buffer)
	b.b = b.b[:0]
	return b
}

func putBuffer(b *buffer) {
	if b != nil && cap(b.b) <= mostPooled {
		buffers.Put(b)
	}
}

// Held is how many bytes of bodies and answers are held now.
func (p *Proxy) Held() int64 { return p.budget.Held() }
