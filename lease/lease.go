package lease

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/register"
)

const (
	TTL   = 3 * time.Second
	Renew = time.Second
	Drift = TTL / 10
)

type Token struct {
	Seat, N uint64
}

func (m Token) Less(o Token) (yes bool) {
	return m.Seat < o.Seat || (m.Seat == o.Seat && m.N < o.N)
}

type Request struct {
	Rid    uint64
	Disk   string
	Duty   string
	Holder string
	Mark   Token
	Seat   uint64
}

type Grant struct {
	Rid    uint64
	Disk   string
	Duty   string
	OK     bool
	Mark   Token
	Holder string
}

type Release struct {
	Disk   string
	Duty   string
	Holder string
	Mark   Token
}

type Record struct {
	Holder string
	Mark   Token
}

type grantRow struct {
	Record
	until time.Duration
}

type Grantor struct {
	Disk       string
	rows       map[string]*grantRow
	graceUntil time.Duration
	epoch      uint64
}

func NewGrantor(disk string, kept map[string]Record, quietUntil time.Duration) (g *Grantor) {
	g = &Grantor{Disk: disk, rows: map[string]*grantRow{}, graceUntil: quietUntil}
	for duty, r := range kept {
		g.rows[duty] = &grantRow{Record: r, until: quietUntil}
	}
	return g
}

func (g *Grantor) ChangeEpoch(now time.Duration, seat uint64) {
	if seat > g.epoch {
		g.epoch, g.graceUntil = seat, now+TTL
	}
}

func (g *Grantor) HandleRequest(now time.Duration, m Request) (r Grant, write bool) {
	if m.Disk != g.Disk {
		return Grant{}, false
	}
	r = Grant{Rid: m.Rid, Disk: g.Disk, Duty: m.Duty}
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
	write = !same
	cur.Holder, cur.Mark, cur.until = m.Holder, m.Mark, now+TTL
	r.OK, r.Mark, r.Holder = true, m.Mark, m.Holder
	return r, write
}

func (g *Grantor) HandleRelease(m Release) {
	if cur := g.rows[m.Duty]; cur != nil && m.Disk == g.Disk && cur.Holder == m.Holder && cur.Mark == m.Mark {
		cur.until = 0
	}
}

func (g *Grantor) Records() (kept map[string]Record) {
	kept = map[string]Record{}
	for duty, r := range g.rows {
		if r.Holder != "" {
			kept[duty] = r.Record
		}
	}
	return kept
}

type Lease struct {
	Duty  string
	Token Token
	until time.Duration
	asked time.Duration
	rid   uint64
	yes   map[string]bool
	next  time.Duration
}

type Holder struct {
	Name   string
	leases map[string]*Lease
	high   map[string]uint64
	rid    uint64
	rng    *rand.Rand
}

func NewHolder(name string, seed uint64) (h *Holder) {
	return &Holder{Name: name, rng: rand.New(rand.NewPCG(seed, 41)), leases: map[string]*Lease{}, high: map[string]uint64{}}
}

func (h *Holder) Holds(now time.Duration, duty string) (m Token, ok bool) {
	c := h.leases[duty]
	if c == nil || now >= c.until {
		return Token{}, false
	}
	return c.Token, true
}

func (h *Holder) Acquire(now time.Duration, duty string, seats *register.Value) (sends []register.Send) {
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
	c.rid, c.asked, c.yes, c.next = h.rid, now, map[string]bool{}, now+Renew
	for _, v := range seats.All() {
		sends = append(sends, register.Send{Disk: v.Disk, Msg: Request{Rid: c.rid, Disk: v.Disk, Duty: duty, Holder: h.Name, Mark: c.Token, Seat: seats.Seat}})
	}
	return sends
}

func (h *Holder) OnGrant(now time.Duration, g Grant, seats *register.Value) {
	c := h.leases[g.Duty]
	if c == nil || g.Rid != c.rid {
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

func (h *Holder) Release(duty string, seats *register.Value) (sends []register.Send) {
	c := h.leases[duty]
	if c == nil {
		return nil
	}
	delete(h.leases, duty)
	return h.releases(c, seats)
}

func (h *Holder) releases(c *Lease, seats *register.Value) (sends []register.Send) {
	for _, v := range seats.All() {
		sends = append(sends, register.Send{Disk: v.Disk, Msg: Release{Disk: v.Disk, Duty: c.Duty, Holder: h.Name, Mark: c.Token}})
	}
	return sends
}

func (h *Holder) Held() (duties []string) {
	for d := range h.leases {
		duties = append(duties, d)
	}
	slices.Sort(duties)
	return duties
}
