package control

import (
	"slices"
	"sort"
	"time"

	"github.com/mallowbridge/mallowbridge"
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/lease"
	"github.com/mallowbridge/mallowbridge/membership"
)

const (
	probeEvery = 250 * time.Millisecond
	shareEvery = time.Second
	deserted   = 2500 * time.Millisecond
	coreAway   = 4 * time.Second
	missesDown = 2
)

type watched struct {
	row    mallowbridge.Usage
	since  time.Duration
	at     time.Duration
	misses int
}

type duties struct {
	heard   map[string]time.Duration
	mark    map[string]uint64
	seq     map[string]uint64
	probed  map[string]time.Duration
	shared  map[string]time.Duration
	urgent  map[string]bool
	reps    map[string]*watched
	lost    map[string]time.Duration
	started time.Duration
	mended  time.Duration
}

func newDuties() (d duties) {
	return duties{
		heard: map[string]time.Duration{}, mark: map[string]uint64{}, seq: map[string]uint64{}, probed: map[string]time.Duration{},
		shared: map[string]time.Duration{}, urgent: map[string]bool{}, reps: map[string]*watched{}, lost: map[string]time.Duration{},
	}
}

func (n *Node) domains() (ds []string) {
	if n.pic == nil {
		return nil
	}
	for _, o := range n.pic.Charter.Offers {
		for _, r := range o.Replicas {
			if !slices.Contains(ds, r.Domain) {
				ds = append(ds, r.Domain)
			}
		}
	}
	sort.Strings(ds)
	return ds
}

func (n *Node) first(duty, domain string) (yes bool) {
	near := false
	for _, m := range n.Kin.Table.All() {
		near = near || (m.State == membership.Alive && m.Domain == domain)
	}
	kind := "all/"
	if near {
		kind = "near/" + domain + "/"
	}
	return n.place(kind, duty, func(m membership.Member) bool {
		return m.State == membership.Alive && (!near || m.Domain == domain)
	}) == 0
}

func (n *Node) work(now time.Duration) {
	if !n.joined || n.value == nil || n.left || n.Kin.Alone(now) {
		return
	}
	if n.duties.started == 0 {
		n.duties.started = now
	}
	for _, d := range n.domains() {
		n.probeDuty(now, d)
	}
	n.mend(now)
	n.tend(now)
}

func (n *Node) probeDuty(now time.Duration, domain string) {
	duty := "probe/" + domain
	mark, ok := n.hold.Holds(now, duty)
	silent := now - max(n.duties.heard[domain], n.duties.started)
	fresh := n.duties.heard[domain] == 0
	if ok || ((fresh || silent > deserted) && n.first(duty, domain)) {
		n.toDisks(n.hold.Want(now, duty, n.value))
	}
	if !ok && silent > coreAway && n.first(duty, domain) {
		n.probe(now, domain, n.duties.mark[domain])
		return
	}
	if ok {
		n.probe(now, domain, stamp(mark))
	}
}

func stamp(m lease.Mark) (hi uint64) { return m.Seat<<32 | m.N&0xffffffff }

func (n *Node) probe(now time.Duration, domain string, hi uint64) {
	if hi < n.duties.mark[domain] {
		return
	}
	n.duties.mark[domain] = hi
	if now-n.duties.probed[domain] >= probeEvery {
		n.duties.probed[domain] = now
		n.each(domain, func(name, addr string) {
			if n.duties.reps[name] == nil {
				n.duties.reps[name] = &watched{since: now, row: mallowbridge.Usage{Replica: name, Down: true}}
			}
			n.out.Probes = append(n.out.Probes, Probe{Replica: name, Addr: addr})
		})
	}
	if now-n.duties.shared[domain] < shareEvery && !n.duties.urgent[domain] {
		return
	}
	n.publish(now, domain, hi)
}

func (n *Node) each(domain string, act func(name, addr string)) {
	for _, o := range n.pic.Charter.Offers {
		for _, r := range o.Replicas {
			if r.Domain == domain {
				act(r.Name, r.Addr)
			}
		}
	}
}

func (n *Node) publish(now time.Duration, domain string, hi uint64) {
	u := Usages{Domain: domain, By: n.cfg.Name, Urgent: n.duties.urgent[domain]}
	n.each(domain, func(name, _ string) {
		w := n.duties.reps[name]
		if w == nil || (w.row.InstanceID == "" && w.misses < missesDown) {
			return
		}
		row := w.row
		row.Lag += now - w.at
		row.Age = now - w.since
		u.Rows = append(u.Rows, row)
	})
	if len(u.Rows) == 0 {
		return
	}
	n.duties.shared[domain], n.duties.urgent[domain] = now, false
	n.duties.seq[domain]++
	it := gossip.Item{Key: "u/" + domain, Mark: gossip.Mark{Hi: hi, Lo: n.duties.seq[domain]}, Data: u}
	if n.Rumor.Put(it) {
		n.onUsages(now, it.Mark, u)
	}
}

func (n *Node) onUsages(now time.Duration, m gossip.Mark, u Usages) {
	n.duties.heard[u.Domain] = now
	n.duties.mark[u.Domain] = max(n.duties.mark[u.Domain], m.Hi)
	n.duties.seq[u.Domain] = m.Lo
	if u.By != n.cfg.Name {
		for _, r := range u.Rows {
			n.duties.reps[r.Replica] = &watched{row: r, since: now - r.Age, at: now}
		}
	}
	n.usageEvents(now, u)
}

func (n *Node) usageEvents(now time.Duration, u Usages) {
	for _, r := range u.Rows {
		if n.believes(now, r) {
			n.event(r)
		}
	}
}

func (n *Node) probed(now time.Duration, p Probed) {
	if p.Own {
		n.sighted(now, Sighted{State: map[bool]SightState{true: Up, false: Shut}[p.OK], Probed: p})
		return
	}
	w := n.duties.reps[p.Replica]
	if w == nil || n.pic == nil {
		return
	}
	domain := n.where[p.Replica].Domain
	was := w.row
	if !p.OK {
		w.misses++
		if w.misses >= missesDown {
			w.row.Down = true
		}
	} else {
		if w.row.InstanceID != p.InstanceID || w.row.Down {
			w.since = now
		}
		w.misses, w.at = 0, now
		w.row = mallowbridge.Usage{Replica: p.Replica, InstanceID: p.InstanceID, Running: p.Running, Leaving: p.Leaving, Lag: p.Lag}
	}
	if was.InstanceID != w.row.InstanceID || was.Down != w.row.Down || was.Leaving != w.row.Leaving || (w.row.Down && w.misses == missesDown) {
		n.duties.urgent[domain] = true
	}
}

func (n *Node) Knows(domain string) (yes bool) {
	if n.value != nil && slices.Contains(n.value.Emptied, domain) || slices.Contains(n.domains(), domain) {
		return true
	}
	for _, m := range n.Kin.Table.All() {
		if m.Domain == domain {
			return true
		}
	}
	return false
}
