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

type Mark struct {
	Seat, N uint64
}

func (m Mark) Less(o Mark) (yes bool) {
	return m.Seat < o.Seat || (m.Seat == o.Seat && m.N < o.N)
}

type Ask struct {
	Rid    uint64
	Disk   string
	Duty   string
	Holder string
	Mark   Mark
	Seat   uint64
}

type Grant struct {
	Rid    uint64
	Disk   string
	Duty   string
	OK     bool
	Mark   Mark
	Holder string
}

type Drop struct {
	Disk   string
	Duty   string
	Holder string
	Mark   Mark
}

type Record struct {
	Holder string
	Mark   Mark
}

type row struct {
	Record
	until time.Duration
}

type Granter struct {
	Disk  string
	rows  map[string]*row
	quiet time.Duration
	seat  uint64
}

func NewGranter(disk string, kept map[string]Record, quietUntil time.Duration) (g *Granter) {
	g = &Granter{Disk: disk, rows: map[string]*row{}, quiet: quietUntil}
	for duty, r := range kept {
		g.rows[duty] = &row{Record: r, until: quietUntil}
	}
	return g
}

func (g *Granter) Reseat(now time.Duration, seat uint64) {
	if seat > g.seat {
		g.seat, g.quiet = seat, now+TTL
	}
}

func (g *Granter) Ask(now time.Duration, m Ask) (r Grant, write bool) {
	if m.Disk != g.Disk {
		return Grant{}, false
	}
	r = Grant{Rid: m.Rid, Disk: g.Disk, Duty: m.Duty}
	if m.Seat != g.seat {
		return r, false
	}
	cur := g.rows[m.Duty]
	if cur == nil {
		cur = &row{until: g.quiet}
		g.rows[m.Duty] = cur
	}
	same := cur.Holder == m.Holder && cur.Mark == m.Mark
	if !same && (now < cur.until || now < g.quiet || !cur.Mark.Less(m.Mark)) {
		r.Mark, r.Holder = cur.Mark, cur.Holder
		return r, false
	}
	write = !same
	cur.Holder, cur.Mark, cur.until = m.Holder, m.Mark, now+TTL
	r.OK, r.Mark, r.Holder = true, m.Mark, m.Holder
	return r, write
}

func (g *Granter) Drop(m Drop) {
	if cur := g.rows[m.Duty]; cur != nil && m.Disk == g.Disk && cur.Holder == m.Holder && cur.Mark == m.Mark {
		cur.until = 0
	}
}

func (g *Granter) Kept() (kept map[string]Record) {
	kept = map[string]Record{}
	for duty, r := range g.rows {
		if r.Holder != "" {
			kept[duty] = r.Record
		}
	}
	return kept
}

type Claim struct {
	Duty  string
	Mark  Mark
	until time.Duration
	asked time.Duration
	rid   uint64
	yes   map[string]bool
	next  time.Duration
}

type Holder struct {
	Name   string
	claims map[string]*Claim
	high   map[string]uint64
	rid    uint64
	rng    *rand.Rand
}

func NewHolder(name string, seed uint64) (h *Holder) {
	return &Holder{Name: name, rng: rand.New(rand.NewPCG(seed, 41)), claims: map[string]*Claim{}, high: map[string]uint64{}}
}

func (h *Holder) Holds(now time.Duration, duty string) (m Mark, ok bool) {
	c := h.claims[duty]
	if c == nil || now >= c.until {
		return Mark{}, false
	}
	return c.Mark, true
}

func (h *Holder) Want(now time.Duration, duty string, seats *register.Value) (sends []register.Send) {
	c := h.claims[duty]
	if c == nil {
		c = &Claim{Duty: duty, Mark: Mark{Seat: seats.Seat, N: h.high[duty] + 1}}
		h.claims[duty] = c
	}
	if now < c.next {
		return nil
	}
	if now >= c.until && len(c.yes) > 0 {
		c.yes, c.rid, c.next = nil, 0, now+Renew/4+time.Duration(h.rng.Int64N(int64(2*Renew)))
		return h.drops(c, seats)
	}
	if now >= c.until && (c.Mark.N <= h.high[duty] || c.Mark.Seat != seats.Seat) {
		c.Mark = Mark{Seat: seats.Seat, N: h.high[duty] + 1}
	}
	h.rid++
	c.rid, c.asked, c.yes, c.next = h.rid, now, map[string]bool{}, now+Renew
	for _, v := range seats.All() {
		sends = append(sends, register.Send{Disk: v.Disk, Msg: Ask{Rid: c.rid, Disk: v.Disk, Duty: duty, Holder: h.Name, Mark: c.Mark, Seat: seats.Seat}})
	}
	return sends
}

func (h *Holder) OnGrant(now time.Duration, g Grant, seats *register.Value) {
	c := h.claims[g.Duty]
	if c == nil || g.Rid != c.rid {
		return
	}
	if !g.OK {
		if g.Mark.Seat == c.Mark.Seat {
			h.high[g.Duty] = max(h.high[g.Duty], g.Mark.N)
		}
		return
	}
	c.yes[g.Disk] = true
	if register.Quorum(seats, func(d string) bool { return c.yes[d] }) {
		c.until = max(c.until, c.asked+TTL-Drift)
	}
}

func (h *Holder) Drop(duty string, seats *register.Value) (sends []register.Send) {
	c := h.claims[duty]
	if c == nil {
		return nil
	}
	delete(h.claims, duty)
	return h.drops(c, seats)
}

func (h *Holder) drops(c *Claim, seats *register.Value) (sends []register.Send) {
	for _, v := range seats.All() {
		sends = append(sends, register.Send{Disk: v.Disk, Msg: Drop{Disk: v.Disk, Duty: c.Duty, Holder: h.Name, Mark: c.Mark}})
	}
	return sends
}

func (h *Holder) Held() (duties []string) {
	for d := range h.claims {
		duties = append(duties, d)
	}
	slices.Sort(duties)
	return duties
}
