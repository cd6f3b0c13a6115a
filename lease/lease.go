package lease

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/register"
)

const (
	// TTL is how long a grant binds its grantor, by the grantor's clock.
	TTL = 3 * time.Second
	// RenewInterval is the time between two requests of a holder for one lease.
	RenewInterval = time.Second
	// DriftMargin is by how much a holder stops earlier than its grantors, so that clocks may run at rates that differ by a tenth.
	DriftMargin = TTL / 10
)

// Token orders the holders of a role: by the epoch of the voters, then by number. It is a fencing token: work under a lower one is void.
type Token struct {
	Epoch, Number uint64
}

// Less says whether m is older than o.
func (m Token) Less(o Token) bool {
	return m.Epoch < o.Epoch || (m.Epoch == o.Epoch && m.Number < o.Number)
}

// Record is what a grantor keeps on disk of one role.
type Record struct {
	Holder string
	Token  Token
}

type grantRow struct {
	Record
	expiresAt time.Duration
}

// Grantor is the part of a voter that grants leases. It is owned by one goroutine and takes the time of its own clock.
type Grantor struct {
	// Disk names the voter; requests to another one are left unanswered.
	Disk       string
	rows       map[string]*grantRow
	graceUntil time.Duration
	epoch      uint64
}

// NewGrantor starts from what the disk kept. It grants nothing new before quietUntil, since it does not know what it granted when.
func NewGrantor(disk string, kept map[string]Record, quietUntil time.Duration) *Grantor {
	g := &Grantor{Disk: disk, rows: map[string]*grantRow{}, graceUntil: quietUntil}
	for role, r := range kept {
		g.rows[role] = &grantRow{Record: r, expiresAt: quietUntil}
	}
	return g
}

// ChangeEpoch moves to a later epoch of the voters. Leases of the epoch before may run on for TTL, during which nothing is granted.
func (g *Grantor) ChangeEpoch(now time.Duration, epoch uint64) {
	if epoch > g.epoch {
		g.epoch, g.graceUntil = epoch, now+TTL
	}
}

// HandleRequest grants or refuses. With write set, the answer must wait until Records is durable; an answer without Disk is not sent.
func (g *Grantor) HandleRequest(now time.Duration, m Request) (Grant, bool) {
	if m.Disk != g.Disk {
		return Grant{}, false
	}
	r := Grant{RequestID: m.RequestID, Disk: g.Disk, Role: m.Role}
	if m.Epoch != g.epoch {
		return r, false
	}
	current := g.rows[m.Role]
	if current == nil {
		current = &grantRow{expiresAt: g.graceUntil}
		g.rows[m.Role] = current
	}
	same := current.Holder == m.Holder && current.Token == m.Token
	if !same && (now < current.expiresAt || now < g.graceUntil || !current.Token.Less(m.Token)) {
		r.Token, r.Holder = current.Token, current.Holder
		return r, false
	}
	write := !same
	current.Holder, current.Token, current.expiresAt = m.Holder, m.Token, now+TTL
	r.OK, r.Token, r.Holder = true, m.Token, m.Holder
	return r, write
}

// HandleRelease frees a role whose holder gave it up.
func (g *Grantor) HandleRelease(m Release) {
	if current := g.rows[m.Role]; current != nil && m.Disk == g.Disk && current.Holder == m.Holder && current.Token == m.Token {
		current.expiresAt = 0
	}
}

// Records is what has to outlive a restart.
func (g *Grantor) Records() map[string]Record {
	kept := map[string]Record{}
	for role, r := range g.rows {
		if r.Holder != "" {
			kept[role] = r.Record
		}
	}
	return kept
}

// Lease is a holder's side of one role: the token it asks with, and until when it counts on the grants it got.
type Lease struct {
	Role        string
	Token       Token
	expiresAt   time.Duration
	requestedAt time.Duration
	requestID   uint64
	grantedBy   map[string]bool
	retryAt     time.Duration
	// epoch is that of the voters who were asked: a round's grants count under them alone.
	epoch uint64
}

// Holder acquires, renews and releases leases. It is owned by one goroutine and takes the time of its own clock.
type Holder struct {
	// Name must not be used by any other process, not even by an earlier one on the same machine.
	Name           string
	leases         map[string]*Lease
	highestNumbers map[string]uint64
	requestID      uint64
	rng            *rand.Rand
}

// NewHolder holds nothing yet; seed spreads its retries.
func NewHolder(name string, seed uint64) *Holder {
	return &Holder{Name: name, rng: rand.New(rand.NewPCG(seed, 41)), leases: map[string]*Lease{}, highestNumbers: map[string]uint64{}, requestID: firstRequestID(name)}
}

// Holds tells the token under which the role may be done now.
func (h *Holder) Holds(now time.Duration, role string) (Token, bool) {
	current := h.leases[role]
	if current == nil || now >= current.expiresAt {
		return Token{}, false
	}
	return current.Token, true
}

// Acquire asks for the role, or for more time, when it is due; it is called again and again for as long as the role is wanted.
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

// OnGrant takes one answer. The lease is held when a majority of the voters, of both sets while they change, granted one request; its
// time runs from the sending of that request.
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
	if register.Quorum(voters, func(d string) bool { return current.grantedBy[d] }) {
		current.expiresAt = max(current.expiresAt, current.requestedAt+TTL-DriftMargin)
	}
}

// Release gives the role up.
func (h *Holder) Release(role string, voters *register.Value) []Send {
	current := h.leases[role]
	if current == nil {
		return nil
	}
	delete(h.leases, role)
	return h.releases(current, voters)
}

// releases gives a token up. It is never asked for again: its release may arrive after a later request, and would end a lease that its
// holder counts on.
func (h *Holder) releases(current *Lease, voters *register.Value) []Send {
	h.highestNumbers[current.Role] = max(h.highestNumbers[current.Role], current.Token.Number)
	var sends []Send
	for _, v := range voters.AllVoters() {
		sends = append(sends, Send{Disk: v.Disk, Msg: Release{Disk: v.Disk, Role: current.Role, Holder: h.Name, Token: current.Token}})
	}
	return sends
}

// Roles lists the roles that are wanted, in order.
func (h *Holder) Roles() []string {
	var roles []string
	for d := range h.leases {
		roles = append(roles, d)
	}
	slices.Sort(roles)
	return roles
}
