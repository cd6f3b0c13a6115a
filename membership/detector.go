package membership

import (
	"math/rand/v2"
	"time"
)

// probe is a ping that waits for its answer; indirect: helpers were asked, or are not to be.
type probe struct {
	target   string
	sentAt   time.Duration
	indirect bool
}

// relay is a ping made for another member.
type relay struct {
	to         string
	seq        uint64
	receivedAt time.Duration
}

// Detector is one member's failure detector and owner of its table of members. The control node drives it from one goroutine: it
// passes in messages and the time, sends what is returned, and spreads TakeChanges by gossip.
type Detector struct {
	cfg Config
	// Self is this member as others are to see it; it changes by Update.
	Self   Member
	Table  Table
	rng    *rand.Rand
	seq    uint64
	probes map[uint64]*probe
	relays map[uint64]relay
	// lastPing is when a member was pinged or answered last, suspectSince when it was first suspected.
	lastPing     map[string]time.Duration
	suspectSince map[string]time.Duration
	// leftAt is when a member was heard to have left.
	leftAt map[string]time.Duration
	// pinged are the members that this one pings, at revision pingedRev of the table.
	pinged    map[string]bool
	pingedRev uint64
	// others is their number at the revision before othersRev.
	others      int
	othersRev   uint64
	contactedAt time.Duration
	tickedAt    time.Duration
	changes     []Member
	// Deaths counts members that were declared dead or left, Refutations suspicions of this member that it refuted.
	Deaths, Refutations uint64
}

// New gives a detector that knows only its own member.
func New(cfg Config, self Member, seed uint64, now time.Duration) *Detector {
	k := &Detector{
		cfg: cfg, Self: self, rng: rand.New(rand.NewPCG(seed, 13)), probes: map[uint64]*probe{}, relays: map[uint64]relay{},
		lastPing: map[string]time.Duration{}, suspectSince: map[string]time.Duration{}, leftAt: map[string]time.Duration{}, contactedAt: now, tickedAt: now,
	}
	k.Table.rows = map[string]Member{self.Name: self}
	k.changes = []Member{self}
	return k
}

// TakeChanges gives the members that changed since the last call.
func (k *Detector) TakeChanges() []Member {
	var ms []Member
	ms, k.changes = k.changes, nil
	return ms
}

func (k *Detector) set(now time.Duration, m Member) {
	old, had := k.Table.rows[m.Name]
	k.Table.put(m)
	k.changes = append(k.changes, m)
	if m.State != Suspect {
		delete(k.suspectSince, m.Name)
	}
	k.noteLeft(now, old, m)
	switch {
	case m.State == Suspect:
		k.suspectSince[m.Name] = now
	case !m.Live() && (!had || old.Live()):
		k.Deaths++
	}
	if m.Incarnation > old.Incarnation {
		k.forgetProbes(m.Name)
	}
}

// forgetProbes drops the probes of an earlier incarnation.
func (k *Detector) forgetProbes(target string) {
	for seq, p := range k.probes {
		if p.target == target {
			delete(k.probes, seq)
		}
	}
}

// Update changes this member and raises its incarnation.
func (k *Detector) Update(now time.Duration, change func(m *Member)) {
	change(&k.Self)
	k.Self.Incarnation++
	k.set(now, k.Self)
}

// Merge takes in what others say of a member. If they suspect this one, it refutes with a higher incarnation.
func (k *Detector) Merge(now time.Duration, m Member) {
	if m.Name == k.Self.Name {
		if m.Incarnation > k.Self.Incarnation || (m.Incarnation == k.Self.Incarnation && m.State != k.Self.State) {
			k.Refutations++
			k.Self.Incarnation = m.Incarnation
			k.Update(now, func(*Member) {})
		}
		return
	}
	if old, ok := k.Table.rows[m.Name]; ok && !m.Newer(old) {
		return
	}
	k.set(now, m)
}

// OtherCount counts the other members that have not left, dead ones too.
func (k *Detector) OtherCount() (n int) {
	if k.othersRev == k.Table.rev+1 {
		return k.others
	}
	defer func() { k.others, k.othersRev = n, k.Table.rev+1 }()
	for _, m := range k.Table.rows {
		if m.Name != k.Self.Name && m.State != Left {
			n++
		}
	}
	return n
}

// Isolated tells that no other member has answered for IsolatedAfter, though there are some.
func (k *Detector) Isolated(now time.Duration) bool {
	return k.OtherCount() > 0 && now-k.contactedAt > k.cfg.IsolatedAfter
}

// OnPing answers a ping that is meant for this member.
func (k *Detector) OnPing(from string, m Ping) []Send {
	if m.Name != k.Self.Name {
		return nil
	}
	return []Send{{To: from, Msg: Ack{Seq: m.Seq}}}
}

// OnPingFor pings a member for another.
func (k *Detector) OnPingFor(now time.Duration, from string, m PingFor) []Send {
	k.seq++
	k.relays[k.seq] = relay{to: from, seq: m.Seq, receivedAt: now}
	return []Send{{To: m.Addr, Msg: Ping{Seq: k.seq, Name: m.Name}}}
}

// OnAck takes in an answer to a ping, or passes it on to the member that the ping was made for.
func (k *Detector) OnAck(now time.Duration, m Ack) []Send {
	if r, ok := k.relays[m.Seq]; ok {
		delete(k.relays, m.Seq)
		return []Send{{To: r.to, Msg: Ack{Seq: r.seq}}}
	}
	if p, ok := k.probes[m.Seq]; ok {
		delete(k.probes, m.Seq)
		k.lastPing[p.target] = now
		if k.Table.rows[p.target].State != Left {
			k.contactedAt = now
		}
	}
	return nil
}

// choosePinged names whom this node pings: its own watchers, who must answer it, and whom it watches. It holds until the table changes.
func (k *Detector) choosePinged(all []Member) {
	if k.pinged != nil && k.pingedRev == k.Table.rev {
		return
	}
	k.pinged, k.pingedRev = map[string]bool{}, k.Table.rev
	for _, name := range Watchers(k.Self, all) {
		k.pinged[name] = true
	}
	for _, m := range all {
		if watches(k.Self, m, all) {
			k.pinged[m.Name] = true
		}
	}
}

// Tick declares members dead whose suspicion stood for SuspectFor, asks helpers, suspects, and pings who is due.
func (k *Detector) Tick(now time.Duration) []Send {
	if now-k.tickedAt > k.cfg.PauseGap {
		k.restartAfterPause(now)
	}
	k.tickedAt = now
	all := k.Table.All()
	k.declareDead(now, all)
	sends := k.checkProbes(now, all)
	k.choosePinged(all)
	for _, m := range all {
		if k.pingDue(now, m) {
			sends = append(sends, k.ping(now, m))
		}
	}
	return sends
}

// restartAfterPause voids what was under way while this machine stood still: the others cannot be blamed for it.
func (k *Detector) restartAfterPause(now time.Duration) {
	k.probes = map[uint64]*probe{}
	for name := range k.suspectSince {
		k.suspectSince[name] = now
	}
}

func (k *Detector) declareDead(now time.Duration, all []Member) {
	isolated := k.Isolated(now)
	for _, m := range all {
		since, suspected := k.suspectSince[m.Name]
		if !suspected {
			continue
		}
		if isolated {
			k.suspectSince[m.Name], since = now, now
		}
		if now-since >= k.cfg.SuspicionTimeout && m.State == Suspect {
			m.State = Dead
			k.set(now, m)
		}
	}
}

func (k *Detector) pingDue(now time.Duration, m Member) bool {
	since := now - k.lastPing[m.Name]
	switch {
	case m.Name == k.Self.Name || (m.State == Left && now-k.leftAt[m.Name] > leftPingFor):
		return false
	case m.State == Dead, m.State == Left:
		return since >= deadPingFactor*k.cfg.PingInterval
	}
	return k.pinged[m.Name] && since >= k.cfg.PingInterval
}

func (k *Detector) ping(now time.Duration, m Member) Send {
	k.lastPing[m.Name] = now
	k.seq++
	k.probes[k.seq] = &probe{target: m.Name, sentAt: now, indirect: !m.Live()}
	return Send{To: m.Addr, Msg: Ping{Seq: k.seq, Name: m.Name}}
}
