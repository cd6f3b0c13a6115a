package scheduler

import (
	"fmt"
	"math"
	"sort"
	"strings"
	"time"
)

// A division says how the replicas' room is split among domains of routers: near room first, then what others have to spare.
type division struct {
	at      time.Duration
	of      string
	domains []string
	routers map[string][]string
	names   []string
	part    map[int]map[string]map[string]float64
}

const grace = 2 * time.Second

type RouterRow struct{ Name, Domain string }

func (m *Market) SetRouters(now time.Duration, rs []RouterRow) {
	m.routers = nil
	m.rows = rs
	for _, r := range rs {
		m.routers = append(m.routers, r.Name)
	}
	m.Retune(now)
}

func (m *Market) redivide(now time.Duration) {
	of := m.basis()
	if n := len(m.divs); n > 0 && m.divs[n-1].of == of {
		return
	}
	d := division{at: now, of: of, routers: map[string][]string{}, names: m.routers, part: map[int]map[string]map[string]float64{}}
	for _, r := range m.rows {
		if d.routers[r.Domain] == nil {
			d.domains = append(d.domains, r.Domain)
		}
		d.routers[r.Domain] = append(d.routers[r.Domain], r.Name)
	}
	sort.Strings(d.domains)
	for i := range m.Offers {
		if m.Offers[i].Queues {
			continue
		}
		d.part[i] = m.split(i, d)
	}
	m.divs = append(m.divs, d)
	m.prune(now)
	for i := range m.Reps {
		m.Reps[i].eff, m.Reps[i].coldKnown = -1, false
	}
}

func (m *Market) basis() (of string) {
	var b strings.Builder
	for _, r := range m.rows {
		b.WriteString(r.Name + "@" + r.Domain + ",")
	}
	for i := range m.Reps {
		if r := &m.Reps[i]; r.open() && !m.Offers[r.Offer].Queues {
			fmt.Fprintf(&b, "%d:%d:%s:%d,", i, r.Offer, r.Domain, r.Room)
		}
	}
	return b.String()
}

func (m *Market) split(offer int, d division) (part map[string]map[string]float64) {
	rooms, total := map[string]float64{}, 0.0
	for _, id := range m.Offers[offer].Reps {
		if r := &m.Reps[id]; r.open() {
			rooms[r.Domain] += float64(r.Room)
			total += float64(r.Room)
		}
	}
	spare, lack, lacking := map[string]float64{}, map[string]float64{}, 0.0
	for dom, room := range rooms {
		spare[dom] = room
	}
	part = map[string]map[string]float64{}
	for dom := range rooms {
		part[dom] = map[string]float64{}
	}
	for _, dom := range d.domains {
		need := total * float64(len(d.routers[dom])) / float64(max(len(m.rows), 1))
		own := min(need, rooms[dom])
		if own > 0 {
			part[dom][dom] = own / rooms[dom]
			spare[dom] -= own
		}
		lack[dom] = need - own
		lacking += need - own
	}
	for from := range rooms {
		for _, to := range d.domains {
			if lacking > 1e-9 && lack[to] > 0 {
				part[from][to] += spare[from] * lack[to] / lacking / rooms[from]
			}
		}
	}
	return part
}

func (d *division) share(r *Replica, offer, room int, self RouterRow) (n int) {
	part := d.part[offer][r.Domain]
	left := room
	quota, rest := map[string]int{}, map[string]float64{}
	for _, dom := range d.domains {
		exact := part[dom] * float64(room)
		quota[dom] = int(exact + 1e-9)
		rest[dom] = exact - float64(quota[dom])
		left -= quota[dom]
	}
	order := append([]string(nil), d.domains...)
	weight := func(dom string) float64 {
		u := (float64(Rank(r.Name, "domain/"+dom)>>11) + 1) / (1 << 53)
		return max(rest[dom], 0) / -math.Log(u*0.999999)
	}
	sort.SliceStable(order, func(i, j int) bool { return weight(order[i]) > weight(order[j]) })
	for _, dom := range order {
		if left > 0 && rest[dom] > 1e-9 {
			quota[dom]++
			left--
		}
	}
	return Share("room/"+r.Name, quota[self.Domain], d.routers[self.Domain], self.Name)
}

func (m *Market) share(now time.Duration, r *Replica, room int) (n int) {
	if len(m.divs) == 0 || m.divs[0].at > now-grace {
		return 0
	}
	n = room
	for i := range m.divs {
		n = min(n, m.divs[i].share(r, r.Offer, room, RouterRow{Name: m.cfg.Self, Domain: m.cfg.Domain}))
	}
	return n
}

func (m *Market) age(now time.Duration) {
	old := len(m.divs)
	m.prune(now)
	ripe := len(m.divs) == 1 && m.divs[0].at <= now-grace
	if old == len(m.divs) && ripe == m.ripe {
		return
	}
	m.ripe = ripe
	for i := range m.Reps {
		m.Reps[i].eff, m.Reps[i].coldKnown = -1, false
	}
}

func (m *Market) prune(now time.Duration) {
	for len(m.divs) > 1 && m.divs[1].at <= now-grace {
		m.divs = m.divs[1:]
	}
}
