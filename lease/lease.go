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
	// Renew is the time between two requests of a holder for one lease.
	Renew = time.Second
	// Drift is by how much a holder stops earlier than its grantors, so that clocks may run at rates that differ by a tenth.
	Drift = TTL / 10
)

// Token orders the holders of a duty: by the epoch of the voters, then by number. It is a fencing token: work under a lower one is void.
type Token struct {
	Seat, N uint64
}

// Less says whether m is older than o.
func (m Token) Less(o Token) bool {
	return m.Seat < o.Seat || (m.Seat == o.Seat && m.N < o.N)
}

// Record is what a grantor keeps on disk of one duty.
type Record struct {
	Holder string
	Mark   Token
}

type grantRow struct {
	Record
	until time.Duration
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
	for duty, r := range kept {
		g.rows[duty] = &grantRow{Record: r, until: quietUntil}
	}
	return g
}

// ChangeEpoch moves to a later epoch of the voters. Leases of the epoch before may run on for TTL, during which nothing is granted.
func (g *Grantor) ChangeEpoch(now time.Duration, seat uint64) {
	if seat > g.epoch {
		g.epoch, g.graceUntil = seat, now+TTL
	}
}

// HandleRequest grants or refuses. With write set, the answer must wait until Records is durable; an answer without Disk is not sent.
func (g *Grantor) HandleRequest(now time.Duration, m Request) (Grant, bool) {
	if m.Disk != g.Disk {
		return Grant{}, false
	}
	r := Grant{Rid: m.Rid, Disk: g.Disk, Duty: m.Duty}
	if m.Seat != g.epoch {
		return r, false
	}
	cur := g.rows[m.Duty]
	if cur == nil {
		cur = &grantRow{until: g.graceUntil}
		g.rows[m.Duty] = cur
	}
	same := cur.Holder == m.Holder && cur.Mark == m.Mark
	if !same && (now < cur.until || now < g.graceUntil || !cur.Mark.Less(m.Mark)) {
		r.Mark, r.Holder = cur.Mark, cur.Holder
		return r, false
	}
	write := !same
	cur.Holder, cur.Mark, cur.until = m.Holder, m.Mark, now+TTL
	r.OK, r.Mark, r.Holder = true, m.Mark, m.Holder
	return r, write
}

// HandleRelease frees a duty whose holder gave it up.
func (g *Grantor) HandleRelease(m Release) {
	if cur := g.rows[m.Duty]; cur != nil && m.Disk == g.Disk && cur.Holder == m.Holder && cur.Mark == m.Mark {
		cur.until = 0
	}
}

// Records is what has to outlive a restart.
func (g *Grantor) Records() map[string]Record {
	kept := map[string]Record{}
	for duty, r := range g.rows {
		if r.Holder != "" {
			kept[duty] = r.Record
		}
	}
	return kept
}

// Lease is a holder's side of one duty: the token it asks with, and until when it counts on the grants it got.
type Lease struct {
	Duty  string
	Token Token
	until time.Duration
	asked time.Duration
	rid   uint64
	yes   map[string]bool
	next  time.Duration
	// epoch is that of the voters who were asked: a round's grants count under them alone.
	epoch uint64
}

// Holder acquires, renews and releases leases. It is owned by one goroutine and takes the time of its own clock.
type Holder struct {
	// Name must not be used by any other process, not even by an earlier one on the same machine.
	Name   string
	leases map[string]*Lease
	high   map[string]uint64
	rid    uint64
	rng    *rand.Rand
}

// NewHolder holds nothing yet; seed spreads its retries.
func NewHolder(name string, seed uint64) *Holder {
	return &Holder{Name: name, rng: rand.New(rand.NewPCG(seed, 41)), leases: map[string]*Lease{}, high: map[string]uint64{}, rid: firstRid(name)}
}

// Holds tells the token under which the duty may be done now.
func (h *Holder) Holds(now time.Duration, duty string) (Token, bool) {
	c := h.leases[duty]
	if c == nil || now >= c.until {
		return Token{}, false
	}
	return c.Token, true
}

// Acquire asks for the duty, or for more time, when it is due; it is called again and again for as long as the duty is wanted.
func (h *Holder) Acquire(now time.Duration, duty string, seats *register.Value) []Send {
	c := h.leases[duty]
	if c == nil {
		c = &Lease{Duty: duty, Token: Token{Seat: seats.Seat, N: h.high[duty] + 1}}
		h.leases[duty] = c
	}
	if now < c.next {
		return nil
	}
	if now >= c.until && len(c.yes) > 0 {
		c.yes, c.rid, c.next = nil, 0, now+Renew/4+time.Duration(h.rng.Int64N(int64(2*Renew)))
		return h.releases(c, seats)
	}
	if now >= c.until && (c.Token.N <= h.high[duty] || c.Token.Seat != seats.Seat) {
		c.Token = Token{Seat: seats.Seat, N: h.high[duty] + 1}
	}
	h.rid++
	c.rid, c.asked, c.yes, c.next, c.epoch = h.rid, now, map[string]bool{}, now+Renew, seats.Seat
	var sends []Send
	for _, v := range seats.All() {
		sends = append(sends, Send{Disk: v.Disk, Msg: Request{Rid: c.rid, Disk: v.Disk, Duty: duty, Holder: h.Name, Mark: c.Token, Seat: seats.Seat}})
	}
	return sends
}

// OnGrant takes one answer. The lease is held when a majority of the voters, of both sets while they change, granted one request; its
// time runs from the sending of that request.
func (h *Holder) OnGrant(now time.Duration, g Grant, seats *register.Value) {
	c := h.leases[g.Duty]
	if c == nil || g.Rid != c.rid || seats.Seat != c.epoch {
		return
	}
	if !g.OK {
		if g.Mark.Seat == c.Token.Seat {
			h.high[g.Duty] = max(h.high[g.Duty], g.Mark.N)
		}
		return
	}
	c.yes[g.Disk] = true
	if register.Quorum(seats, func(d string) bool { return c.yes[d] }) {
		c.until = max(c.until, c.asked+TTL-Drift)
	}
}

// Release gives the duty up.
func (h *Holder) Release(duty string, seats *register.Value) []Send {
	c := h.leases[duty]
	if c == nil {
		return nil
	}
	delete(h.leases, duty)
	return h.releases(c, seats)
}

// releases gives a token up. It is never asked for again: its release may arrive after a later request, and would end a lease that its
// holder counts on.
func (h *Holder) releases(c *Lease, seats *register.Value) []Send {
	h.high[c.Duty] = max(h.high[c.Duty], c.Token.N)
	var sends []Send
	for _, v := range seats.All() {
		sends = append(sends, Send{Disk: v.Disk, Msg: Release{Disk: v.Disk, Duty: c.Duty, Holder: h.Name, Mark: c.Token}})
	}
	return sends
}

// Held lists the duties that are wanted, in order.
func (h *Holder) Held() []string {
	var duties []string
	for d := range h.leases {
		duties = append(duties, d)
	}
	slices.Sort(duties)
	return duties
}
