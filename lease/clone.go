package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/internal/fingerprint"
)

// Clone returns an independent copy of the grantor for a model checker.
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

// Epoch returns the newest epoch of the voter set that the grantor knows.
func (g *Grantor) Epoch() uint64 { return g.epoch }

// AppendFingerprint appends to b all state that determines the grantor's next answers. Times are encoded relative to now; those that have
// passed are zero.
func (g *Grantor) AppendFingerprint(b []byte, now time.Duration) []byte {
	b = fingerprint.AppendUvarints(b, g.epoch, remaining(g.graceUntil, now))
	for _, role := range slices.Sorted(maps.Keys(g.rows)) {
		row := g.rows[role]
		b = appendToken(fingerprint.AppendString(fingerprint.AppendString(b, role), row.Holder), row.Token)
		b = fingerprint.AppendUvarints(b, remaining(row.expiresAt, now))
	}
	return b
}

// Clone returns an independent copy of the holder for a model checker. The copy's backoff is not random, so that equal copies stay equal.
func (h *Holder) Clone() *Holder {
	c := &Holder{}
	*c = *h
	c.rng = fingerprint.ConstantRand
	c.highestNumbers = maps.Clone(h.highestNumbers)
	c.leases = map[string]*Lease{}
	for role, l := range h.leases {
		kept := *l
		kept.grantedBy = maps.Clone(l.grantedBy)
		c.leases[role] = &kept
	}
	return c
}

// SkipBackoff lets the holder send its next request for a role at once.
func (h *Holder) SkipBackoff(role string) {
	if l := h.leases[role]; l != nil {
		l.retryAt = 0
	}
}

// Expects reports whether the holder still accepts a grant with this request ID.
func (h *Holder) Expects(role string, requestID uint64) bool {
	l := h.leases[role]
	return l != nil && l.requestID == requestID
}

// GrantedBy reports whether the grantor with the given disk has granted the holder's current request.
func (h *Holder) GrantedBy(role, disk string) bool {
	l := h.leases[role]
	return l != nil && l.grantedBy[disk]
}

// AppendFingerprint appends to b all state that determines what the holder does next, except for its backoff, which SkipBackoff ends, and for
// which disks granted the current request, which GrantedBy reports.
func (h *Holder) AppendFingerprint(b []byte, now time.Duration) []byte {
	b = fingerprint.AppendUvarints(b, h.requestID)
	for _, role := range slices.Sorted(maps.Keys(h.highestNumbers)) {
		b = fingerprint.AppendUvarints(fingerprint.AppendString(b, role), h.highestNumbers[role])
	}
	for _, role := range slices.Sorted(maps.Keys(h.leases)) {
		l := h.leases[role]
		b = appendToken(fingerprint.AppendString(b, role), l.Token)
		b = fingerprint.AppendUvarints(b, remaining(l.expiresAt, now), remaining(l.requestedAt+TTL, now), l.requestID, uint64(len(l.grantedBy)), l.epoch)
	}
	return b
}

// remaining returns the time from now until the given time, or 0 if it has passed.
func remaining(until, now time.Duration) uint64 { return uint64(max(until-now, 0)) }

func appendToken(b []byte, t Token) []byte { return fingerprint.AppendUvarints(b, t.Epoch, t.Number) }
