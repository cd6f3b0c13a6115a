package lease

import (
	"encoding/binary"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// still is a source without state: a copy's backoff is always the longest, for whoever copies a holder calls SkipBackoff.
type still struct{}

// Uint64 returns the highest number; bounded draws would reject zero for ever.
func (still) Uint64() uint64 { return math.MaxUint64 }

var stillRand = rand.New(still{})

// Clone returns an independent copy for a model checker.
func (g *Grantor) Clone() *Grantor {
	c := &Grantor{}
	*c = *g
	c.rows = map[string]*grantRow{}
	for role, row := range g.rows {
		kept := *row
		c.rows[role] = &kept
	}
	return c
}

// Epoch is the newest epoch of the voters that the grantor knows.
func (g *Grantor) Epoch() uint64 { return g.epoch }

// AppendFingerprint appends all that decides the grantor's next answers; times count from now, and what is over is zero.
func (g *Grantor) AppendFingerprint(b []byte, now time.Duration) []byte {
	b = appendNumbers(b, g.epoch, left(g.graceUntil, now))
	for _, role := range slices.Sorted(maps.Keys(g.rows)) {
		row := g.rows[role]
		b = appendToken(appendText(appendText(b, role), row.Holder), row.Token)
		b = appendNumbers(b, left(row.expiresAt, now))
	}
	return b
}

// Clone returns an independent copy for a model checker. Its backoff draws nothing, so that equal copies stay equal.
func (h *Holder) Clone() *Holder {
	c := &Holder{}
	*c = *h
	c.rng = stillRand
	c.highestNumbers = maps.Clone(h.highestNumbers)
	c.leases = map[string]*Lease{}
	for role, l := range h.leases {
		kept := *l
		kept.grantedBy = maps.Clone(l.grantedBy)
		c.leases[role] = &kept
	}
	return c
}

// SkipBackoff ends the wait before the next request for a duty.
func (h *Holder) SkipBackoff(role string) {
	if l := h.leases[role]; l != nil {
		l.retryAt = 0
	}
}

// Expects tells whether a grant with that round id can still count.
func (h *Holder) Expects(role string, requestID uint64) bool {
	l := h.leases[role]
	return l != nil && l.requestID == requestID
}

// GrantedBy tells whether a disk granted in the present round.
func (h *Holder) GrantedBy(role, disk string) bool {
	l := h.leases[role]
	return l != nil && l.grantedBy[disk]
}

// AppendFingerprint appends all that decides what the holder does next but for its waits, which SkipBackoff ends, and for which disks
// granted in the present round (GrantedBy).
func (h *Holder) AppendFingerprint(b []byte, now time.Duration) []byte {
	b = appendNumbers(b, h.requestID)
	for _, role := range slices.Sorted(maps.Keys(h.highestNumbers)) {
		b = appendNumbers(appendText(b, role), h.highestNumbers[role])
	}
	for _, role := range slices.Sorted(maps.Keys(h.leases)) {
		l := h.leases[role]
		b = appendToken(appendText(b, role), l.Token)
		b = appendNumbers(b, left(l.expiresAt, now), left(l.requestedAt+TTL, now), l.requestID, uint64(len(l.grantedBy)), l.epoch)
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

func appendToken(b []byte, t Token) []byte { return appendNumbers(b, t.Epoch, t.Number) }
