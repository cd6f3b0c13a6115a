package lease

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/register"
)

const (
	// TTL is how long a grant binds its grantor, measured on the grantor's clock.
	TTL = 3 * time.Second
	// RenewInterval is the interval at which a holder requests a lease again.
	RenewInterval = time.Second
	// DriftMargin is how much earlier a lease expires at its holder than at its grantors, so that the rates of their clocks may differ by 10 %.
	DriftMargin = TTL / 10
)

// Token is the fencing token of a lease. Tokens are ordered by the epoch of the voter set, then by number; work published under
// a lower token than the newest one must be ignored.
type Token struct {
	Epoch, Number uint64
}

// Less reports whether t is older than o.
func (t Token) Less(o Token) bool {
	return t.Epoch < o.Epoch || (t.Epoch == o.Epoch && t.Number < o.Number)
}

// Record is what a grantor stores on disk for one role: its last holder and token.
type Record struct {
	Holder string
	Token  Token
}

// grantRow is a grantor's last grant of one role; it is in force until expiresAt.
type grantRow struct {
	Record
	expiresAt time.Duration
}

// Grantor is the part of a voter that grants leases. It must be used from one goroutine only; callers pass in the time on its own clock.
type Grantor struct {
	// Disk identifies the voter; requests to another disk are not answered.
	Disk string
	rows map[string]*grantRow
	// graceUntil is the time before which nothing new is granted, because leases that the grantor does not know of may still be in force.
	graceUntil time.Duration
	epoch      uint64
}

// NewGrantor returns a grantor that starts from the records on disk. It grants nothing new before graceUntil, because the records don't say
// when the leases were granted.
func NewGrantor(disk string, kept map[string]Record, graceUntil time.Duration) *Grantor {
	g := &Grantor{Disk: disk, rows: map[string]*grantRow{}, graceUntil: graceUntil}
	for role, r := range kept {
		g.rows[role] = &grantRow{Record: r, expiresAt: graceUntil}
	}
	return g
}

// ChangeEpoch moves the grantor to a later epoch of the voter set. Leases of the previous epoch may remain in force for TTL, so nothing new is
// granted during that time.
func (g *Grantor) ChangeEpoch(now time.Duration, epoch uint64) {
	if epoch > g.epoch {
		g.epoch, g.graceUntil = epoch, now+TTL
	}
}

// HandleRequest grants or refuses a lease. If the second result is true, the caller must make Records durable before it sends the answer. An
// answer whose Disk is empty must not be sent.
func (g *Grantor) HandleRequest(now time.Duration, m Request) (Grant, bool) {
	if m.Disk != g.Disk {
		return Grant{}, false
	}
	answer := Grant{RequestID: m.RequestID, Disk: g.Disk, Role: m.Role}
	if m.Epoch != g.epoch {
		return answer, false
	}
	current := g.rows[m.Role]
	if current == nil {
		current = &grantRow{expiresAt: g.graceUntil}
		g.rows[m.Role] = current
	}
	same := current.Holder == m.Holder && current.Token == m.Token
	if !same && (now < current.expiresAt || now < g.graceUntil || !current.Token.Less(m.Token)) {
		answer.Token, answer.Holder = current.Token, current.Holder
		return answer, false
	}
	write := !same
	current.Holder, current.Token, current.expiresAt = m.Holder, m.Token, now+TTL
	answer.OK, answer.Token, answer.Holder = true, m.Token, m.Holder
	return answer, write
}

// HandleRelease ends a lease that its holder gave up, if it is still the current one.
func (g *Grantor) HandleRelease(m Release) {
	if current := g.rows[m.Role]; current != nil && m.Disk == g.Disk && current.Holder == m.Holder && current.Token == m.Token {
		current.expiresAt = 0
	}
}

// Records returns the state that must survive a restart, by role.
func (g *Grantor) Records() map[string]Record {
	kept := map[string]Record{}
	for role, r := range g.rows {
		if r.Holder != "" {
			kept[role] = r.Record
		}
	}
	return kept
}

// Lease is a holder's state for one role. The role is held under Token until expiresAt. The last request was sent at requestedAt, and was
// granted so far by the disks in grantedBy.
type Lease struct {
	Role        string
	Token       Token
	expiresAt   time.Duration
	requestedAt time.Duration
	requestID   uint64
	grantedBy   map[string]bool
	// retryAt is when the next request may be sent.
	retryAt time.Duration
	// epoch is that of the voter set that was asked. Grants only count towards a quorum of that set.
	epoch uint64
}

// Holder acquires, renews and releases leases. It must be used from one goroutine only; callers pass in the time on its own clock.
type Holder struct {
	// Name must be unique to this process: even an earlier process on the same machine must have had another one.
	Name   string
	leases map[string]*Lease
	// highestNumbers is the highest token number by role that was released or that another holder is known to have. New tokens get higher
	// numbers.
	highestNumbers map[string]uint64
	requestID      uint64
	rng            *rand.Rand
}

// NewHolder returns a holder without leases. The seed determines the random part of its backoff, which spreads the retries of holders.
func NewHolder(name string, seed uint64) *Holder {
	return &Holder{Name: name, rng: rand.New(rand.NewPCG(seed, 41)), leases: map[string]*Lease{}, highestNumbers: map[string]uint64{}, requestID: firstRequestID(name)}
}

// Holds returns the token of the role's lease, and whether the lease is held now. The role may be performed only under that token.
func (h *Holder) Holds(now time.Duration, role string) (Token, bool) {
	current := h.leases[role]
	if current == nil || now >= current.expiresAt {
		return Token{}, false
	}
	return current.Token, true
}

// Acquire returns the messages to send to acquire or renew the lease on a role. It returns none before RenewInterval has passed since the last
// request, or during a backoff. The caller must call it repeatedly for as long as it wants the role.
func (h *Holder) Acquire(now time.Duration, role string, voters *register.Value) []Send {
	current := h.leases[role]
	if current == nil {
		current = &Lease{Role: role, Token: Token{Epoch: voters.Epoch, Number: h.highestNumbers[role] + 1}}
		h.leases[role] = current
	}
	if now < current.retryAt {
		return nil
	}
	if now >= current.expiresAt && len(current.grantedBy) > 0 {
		current.grantedBy, current.requestID, current.retryAt = nil, 0, now+RenewInterval/4+time.Duration(h.rng.Int64N(int64(2*RenewInterval)))
		return h.releases(current, voters)
	}
	if now >= current.expiresAt && (current.Token.Number <= h.highestNumbers[role] || current.Token.Epoch != voters.Epoch) {
		current.Token = Token{Epoch: voters.Epoch, Number: h.highestNumbers[role] + 1}
	}
	h.requestID++
	current.requestID, current.requestedAt, current.grantedBy, current.retryAt, current.epoch = h.requestID, now, map[string]bool{}, now+RenewInterval, voters.Epoch
	var sends []Send
	for _, v := range voters.AllVoters() {
		sends = append(sends, Send{Disk: v.Disk, Msg: Request{RequestID: current.requestID, Disk: v.Disk, Role: role, Holder: h.Name, Token: current.Token, Epoch: voters.Epoch}})
	}
	return sends
}

// OnGrant handles one answer. The lease is held once a majority of the voters has granted the same request; while the voter set changes, a
// majority of each of the two sets is needed. The lease's time starts when that request was sent.
func (h *Holder) OnGrant(_ time.Duration, g Grant, voters *register.Value) {
	current := h.leases[g.Role]
	if current == nil || g.RequestID != current.requestID || voters.Epoch != current.epoch {
		return
	}
	if !g.OK {
		if g.Token.Epoch == current.Token.Epoch {
			h.highestNumbers[g.Role] = max(h.highestNumbers[g.Role], g.Token.Number)
		}
		return
	}
	current.grantedBy[g.Disk] = true
	if register.Quorum(voters, func(disk string) bool { return current.grantedBy[disk] }) {
		current.expiresAt = max(current.expiresAt, current.requestedAt+TTL-DriftMargin)
	}
}

// Release gives up the lease on a role, and returns the messages that inform the grantors.
func (h *Holder) Release(role string, voters *register.Value) []Send {
	current := h.leases[role]
	if current == nil {
		return nil
	}
	delete(h.leases, role)
	return h.releases(current, voters)
}

// releases returns the messages that release a token. The token is never requested again: a release that arrives after a later request under
// the same token would end a lease that the holder relies on.
func (h *Holder) releases(current *Lease, voters *register.Value) []Send {
	h.highestNumbers[current.Role] = max(h.highestNumbers[current.Role], current.Token.Number)
	var sends []Send
	for _, v := range voters.AllVoters() {
		sends = append(sends, Send{Disk: v.Disk, Msg: Release{Disk: v.Disk, Role: current.Role, Holder: h.Name, Token: current.Token}})
	}
	return sends
}

// Roles returns the roles that the holder wants, sorted.
func (h *Holder) Roles() []string {
	var roles []string
	for role := range h.leases {
		roles = append(roles, role)
	}
	slices.Sort(roles)
	return roles
}
