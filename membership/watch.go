package membership

import (
	"math/rand/v2"
	"time"
)

type Config struct {
	Every         time.Duration
	Direct        time.Duration
	Via           time.Duration
	Suspect       time.Duration
	Gap           time.Duration
	IsolatedAfter time.Duration
	Helpers       int
}

func Defaults() (c Config) {
	return Config{
		Every: 400 * time.Millisecond, Direct: 350 * time.Millisecond, Via: 350 * time.Millisecond,
		Suspect: 900 * time.Millisecond, Gap: time.Second, IsolatedAfter: 1500 * time.Millisecond, Helpers: 2,
	}
}

type Ping struct {
	Seq  uint64
	Name string
}

type Ack struct{ Seq uint64 }

type PingFor struct {
	Seq  uint64
	Addr string
	Name string
}

type Send struct {
	To  string
	Msg any
}

type probe struct {
	target string
	sent   time.Duration
	helped bool
}

type relay struct {
	to   string
	seq  uint64
	born time.Duration
}

type Detector struct {
	cfg     Config
	Self    Member
	Table   Table
	rng     *rand.Rand
	seq     uint64
	probes  map[uint64]*probe
	relays  map[uint64]relay
	last    map[string]time.Duration
	suspect map[string]time.Duration
	watched map[string]bool
	chosen  uint64
	// others is their number at the revision before counted.
	others  int
	counted uint64
	heard   time.Duration
	ticked  time.Duration
	changes []Member
	Deaths  uint64
	Refutes uint64
}

func New(cfg Config, self Member, seed uint64, now time.Duration) (k *Detector) {
	k = &Detector{
		cfg: cfg, Self: self, rng: rand.New(rand.NewPCG(seed, 13)), probes: map[uint64]*probe{}, relays: map[uint64]relay{},
		last: map[string]time.Duration{}, suspect: map[string]time.Duration{}, heard: now, ticked: now,
	}
	k.Table.rows = map[string]Member{self.Name: self}
	k.changes = []Member{self}
	return k
}

func (k *Detector) TakeChanges() (ms []Member) {
	ms, k.changes = k.changes, nil
	return ms
}

func (k *Detector) set(now time.Duration, m Member) {
	old, had := k.Table.rows[m.Name]
	k.Table.put(m)
	k.changes = append(k.changes, m)
	if m.State != Suspect {
		delete(k.suspect, m.Name)
	}
	switch {
	case m.State == Suspect:
		k.suspect[m.Name] = now
	case !m.Live() && (!had || old.Live()):
		k.Deaths++
	}
	if m.Inc > old.Inc {
		k.forget(m.Name)
	}
}

func (k *Detector) forget(target string) {
	for seq, p := range k.probes {
		if p.target == target {
			delete(k.probes, seq)
		}
	}
}

func (k *Detector) Update(now time.Duration, change func(m *Member)) {
	change(&k.Self)
	k.Self.Inc++
	k.set(now, k.Self)
}

func (k *Detector) Merge(now time.Duration, m Member) {
	if m.Name == k.Self.Name {
		if m.Inc > k.Self.Inc || (m.Inc == k.Self.Inc && m.State != k.Self.State) {
			k.Refutes++
			k.Self.Inc = m.Inc
			k.Update(now, func(*Member) {})
		}
		return
	}
	if old, ok := k.Table.rows[m.Name]; ok && !m.Newer(old) {
		return
	}
	k.set(now, m)
}

func (k *Detector) Others() (n int) {
	if k.counted == k.Table.rev+1 {
		return k.others
	}
	defer func() { k.others, k.counted = n, k.Table.rev+1 }()
	for _, m := range k.Table.rows {
		if m.Name != k.Self.Name && m.State != Left {
			n++
		}
	}
	return n
}

func (k *Detector) Isolated(now time.Duration) (yes bool) {
	return k.Others() > 0 && now-k.heard > k.cfg.IsolatedAfter
}

func (k *Detector) OnPing(from string, m Ping) (sends []Send) {
	if m.Name != k.Self.Name {
		return nil
	}
	return []Send{{To: from, Msg: Ack{Seq: m.Seq}}}
}

func (k *Detector) OnPingFor(now time.Duration, from string, m PingFor) (sends []Send) {
	k.seq++
	k.relays[k.seq] = relay{to: from, seq: m.Seq, born: now}
	return []Send{{To: m.Addr, Msg: Ping{Seq: k.seq, Name: m.Name}}}
}

func (k *Detector) OnAck(now time.Duration, m Ack) (sends []Send) {
	if r, ok := k.relays[m.Seq]; ok {
		delete(k.relays, m.Seq)
		return []Send{{To: r.to, Msg: Ack{Seq: r.seq}}}
	}
	if p, ok := k.probes[m.Seq]; ok {
		delete(k.probes, m.Seq)
		k.last[p.target] = now
		k.heard = now
	}
	return nil
}

// choose names whom this node pings: its own watchers, who must answer it, and whom it watches. It holds until the table changes.
func (k *Detector) choose(all []Member) {
	if k.watched != nil && k.chosen == k.Table.rev {
		return
	}
	k.watched, k.chosen = map[string]bool{}, k.Table.rev
	for _, name := range Watchers(k.Self, all) {
		k.watched[name] = true
	}
	for _, m := range all {
		if watches(k.Self, m, all) {
			k.watched[m.Name] = true
		}
	}
}

func (k *Detector) Tick(now time.Duration) (sends []Send) {
	if now-k.ticked > k.cfg.Gap {
		k.probes = map[uint64]*probe{}
		for name := range k.suspect {
			k.suspect[name] = now
		}
	}
	k.ticked = now
	all := k.Table.All()
	alone := k.Isolated(now)
	for _, m := range all {
		if _, ok := k.suspect[m.Name]; ok && alone {
			k.suspect[m.Name] = now
		}
		if at, ok := k.suspect[m.Name]; ok && now-at >= k.cfg.Suspect && m.State == Suspect {
			m.State = Dead
			k.set(now, m)
		}
	}
	sends = k.overdue(now, all)
	k.choose(all)
	for _, m := range all {
		if m.Name == k.Self.Name || m.State == Left || now-k.last[m.Name] < k.cfg.Every {
			continue
		}
		slow := m.State == Dead
		if slow && now-k.last[m.Name] < 5*k.cfg.Every {
			continue
		}
		if !slow && !k.watched[m.Name] {
			continue
		}
		k.last[m.Name] = now
		k.seq++
		k.probes[k.seq] = &probe{target: m.Name, sent: now, helped: slow}
		sends = append(sends, Send{To: m.Addr, Msg: Ping{Seq: k.seq, Name: m.Name}})
	}
	return sends
}
