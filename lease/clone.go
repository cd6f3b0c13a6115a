package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/internal/fingerprint"
)

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
	b = fingerprint.AppendUvarints(b, g.epoch, left(g.graceUntil, now))
	for _, role := range slices.Sorted(maps.Keys(g.rows)) {
		row := g.rows[role]
		b = appendToken(fingerprint.AppendString(fingerprint.AppendString(b, role), row.Holder), row.Token)
		b = fingerprint.AppendUvarints(b, left(row.expiresAt, now))
	}
	return b
}

// Clone returns an independent copy for a model checker. Its backoff draws nothing, so that equal copies stay equal.
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

// SkipBackoff ends the wait before the next request for a role.
func (h *Holder) SkipBackoff(role string) {
	if l := h.leases[role]; l != nil {
		l.retryAt = 0
	}
}

// Expects tells whether a grant with that request ID can still count.
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
	b = fingerprint.AppendUvarints(b, h.requestID)
	for _, role := range slices.Sorted(maps.Keys(h.highestNumbers)) {
		b = fingerprint.AppendUvarints(fingerprint.AppendString(b, role), h.highestNumbers[role])
	}
	for _, role := range slices.Sorted(maps.Keys(h.leases)) {
		l := h.leases[role]
		b = appendToken(fingerprint.AppendString(b, role), l.Token)
		b = fingerprint.AppendUvarints(b, left(l.expiresAt, now), left(l.requestedAt+TTL, now), l.requestID, uint64(len(l.grantedBy)), l.epoch)
	}
	return b
}

func left(until, now time.Duration) uint64 { return uint64(max(until-now, 0)) }

func appendToken(b []byte, t Token) []byte { return fingerprint.AppendUvarints(b, t.Epoch, t.Number) }
