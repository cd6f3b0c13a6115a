package lease

import (
	"encoding/binary"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// still is a source without state: a copy's backoff is always the longest, for whoever copies a holder calls Hurry.
type still struct{}

// Uint64 returns the highest number; bounded draws would reject zero for ever.
func (still) Uint64() uint64 { return math.MaxUint64 }

var stillRand = rand.New(still{})

// Clone returns an independent copy for a model checker.
func (g *Grantor) Clone() *Grantor {
	c := &Grantor{}
	*c = *g
	c.rows = map[string]*grantRow{}
	for duty, row := range g.rows {
		kept := *row
		c.rows[duty] = &kept
	}
	return c
}

// Epoch is the newest epoch of the voters that the grantor knows.
func (g *Grantor) Epoch() uint64 { return g.epoch }

// AppendFingerprint appends all that decides the grantor's next answers; times count from now, and what is over is zero.
func (g *Grantor) AppendFingerprint(b []byte, now time.Duration) []byte {
	b = appendNumbers(b, g.epoch, left(g.graceUntil, now))
	for _, duty := range slices.Sorted(maps.Keys(g.rows)) {
		row := g.rows[duty]
		b = appendToken(appendText(appendText(b, duty), row.Holder), row.Mark)
		b = appendNumbers(b, left(row.until, now))
	}
	return b
}

// Clone returns an independent copy for a model checker. Its backoff draws nothing, so that equal copies stay equal.
func (h *Holder) Clone() *Holder {
	c := &Holder{}
	*c = *h
	c.rng = stillRand
	c.high = maps.Clone(h.high)
	c.leases = map[string]*Lease{}
	for duty, l := range h.leases {
		kept := *l
		kept.yes = maps.Clone(l.yes)
		c.leases[duty] = &kept
	}
	return c
}

// Hurry ends the wait before the next request for a duty.
func (h *Holder) Hurry(duty string) {
	if l := h.leases[duty]; l != nil {
		l.next = 0
	}
}

// Expects tells whether a grant with that round id can still count.
func (h *Holder) Expects(duty string, rid uint64) bool {
	l := h.leases[duty]
	return l != nil && l.rid == rid
}

// Heard tells whether a disk granted in the present round.
func (h *Holder) Heard(duty, disk string) bool {
	l := h.leases[duty]
	return l != nil && l.yes[disk]
}

// AppendFingerprint appends all that decides what the holder does next but for its waits, which Hurry ends, and for which disks
// granted in the present round (Heard).
func (h *Holder) AppendFingerprint(b []byte, now time.Duration) []byte {
	b = appendNumbers(b, h.rid)
	for _, duty := range slices.Sorted(maps.Keys(h.high)) {
		b = appendNumbers(appendText(b, duty), h.high[duty])
	}
	for _, duty := range slices.Sorted(maps.Keys(h.leases)) {
		l := h.leases[duty]
		b = appendToken(appendText(b, duty), l.Token)
		b = appendNumbers(b, left(l.until, now), left(l.asked+TTL, now), l.rid, uint64(len(l.yes)), l.epoch)
	}
	return b
}

func left(until, now time.Duration) uint64 { return uint64(max(until-now, 0)) }

func appendNumbers(b []byte, ns ...uint64) []byte {
	for _, n := range ns {
		b = binary.AppendUvarint(b, n)
	}
	return b
}

func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func appendToken(b []byte, t Token) []byte { return appendNumbers(b, t.Seat, t.N) }
