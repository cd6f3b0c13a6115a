package membership

import (
	"math/rand/v2"
	"time"
)

// Detector is the failure detector of one member and owns its table of members. The control node drives it from one goroutine: it passes in
// messages and the time, sends the messages that are returned, and spreads TakeChanges by gossip.
type Detector struct {
	cfg Config
	// Self is this member as it is announced to others. It is changed by Update only.
	Self  Member
	Table Table
	rng   *rand.Rand
	seq   uint64
	// probes contains the unanswered pings, relays those that were sent for another member, both by sequence number.
	probes map[uint64]*probe
	relays map[uint64]relay
	// lastPing is when a member was last pinged or last answered, suspectSince when it became suspect.
	lastPing     map[string]time.Duration
	suspectSince map[string]time.Duration
	// leftAt is when this node learned that a member left.
	leftAt map[string]time.Duration
	// pinged contains the names of the members that this one pings, as computed for generation pingedGeneration of the table.
	pinged           map[string]bool
	pingedGeneration uint64
	// others caches OtherCount. It is valid while the generation of the table is othersValidBefore-1; 0 means that it was never computed.
	others            int
	othersValidBefore uint64
	// lastAckAt is when a member that has not left last answered a ping.
	lastAckAt  time.Duration
	lastTickAt time.Duration
	changes    []Member
	// Deaths counts members that died or left, Refutations contradictory reports about this member that it refuted.
	Deaths, Refutations uint64
}

// New returns a detector whose table contains only self. The seed determines its random choice of helpers.
func New(cfg Config, self Member, seed uint64, now time.Duration) *Detector {
	d := &Detector{
		cfg: cfg, Self: self, rng: rand.New(rand.NewPCG(seed, 13)), probes: map[uint64]*probe{}, relays: map[uint64]relay{},
		lastPing: map[string]time.Duration{}, suspectSince: map[string]time.Duration{}, leftAt: map[string]time.Duration{}, lastAckAt: now, lastTickAt: now,
	}
	d.Table.rows = map[string]Member{self.Name: self}
	d.changes = []Member{self}
	return d
}

// TakeChanges returns the members that changed since the last call.
func (d *Detector) TakeChanges() []Member {
	var members []Member
	members, d.changes = d.changes, nil
	return members
}

// set stores a member in the table and records the change.
func (d *Detector) set(now time.Duration, m Member) {
	old, had := d.Table.rows[m.Name]
	d.Table.put(m)
	d.changes = append(d.changes, m)
	if m.State != Suspect {
		delete(d.suspectSince, m.Name)
	}
	d.trackLeft(now, old, m)
	switch {
	case m.State == Suspect:
		d.suspectSince[m.Name] = now
	case !m.Live() && (!had || old.Live()):
		d.Deaths++
	}
	if m.Incarnation > old.Incarnation {
		d.forgetProbes(m.Name)
	}
}

// forgetProbes drops the pending probes of a member, which were sent to an earlier incarnation.
func (d *Detector) forgetProbes(target string) {
	for seq, p := range d.probes {
		if p.target == target {
			delete(d.probes, seq)
		}
	}
}

// Update changes this member and increments its incarnation.
func (d *Detector) Update(now time.Duration, change func(m *Member)) {
	change(&d.Self)
	d.Self.Incarnation++
	d.set(now, d.Self)
}

// Merge applies another node's view of a member if it is newer than this node's. A view of this member that contradicts its own state is
// refuted with a higher incarnation.
func (d *Detector) Merge(now time.Duration, m Member) {
	if m.Name == d.Self.Name {
		if m.Incarnation > d.Self.Incarnation || (m.Incarnation == d.Self.Incarnation && m.State != d.Self.State) {
			d.Refutations++
			d.Self.Incarnation = m.Incarnation
			d.Update(now, func(*Member) {})
		}
		return
	}
	if old, ok := d.Table.rows[m.Name]; ok && !m.Newer(old) {
		return
	}
	d.set(now, m)
}

// OtherCount returns the number of other members that have not left, including dead ones.
func (d *Detector) OtherCount() (n int) {
	if d.othersValidBefore == d.Table.generation+1 {
		return d.others
	}
	defer func() { d.others, d.othersValidBefore = n, d.Table.generation+1 }()
	for _, m := range d.Table.rows {
		if m.Name != d.Self.Name && m.State != Left {
			n++
		}
	}
	return n
}

// Isolated reports whether there are other members but none has answered for IsolatedAfter.
func (d *Detector) Isolated(now time.Duration) bool {
	return d.OtherCount() > 0 && now-d.lastAckAt > d.cfg.IsolatedAfter
}

// OnPing answers a ping that is addressed to this member by name.
func (d *Detector) OnPing(from string, m Ping) []Send {
	if m.Name != d.Self.Name {
		return nil
	}
	return []Send{{To: from, Msg: Ack{Seq: m.Seq}}}
}

// OnPingFor pings a member on behalf of another one.
func (d *Detector) OnPingFor(now time.Duration, from string, m PingFor) []Send {
	d.seq++
	d.relays[d.seq] = relay{to: from, seq: m.Seq, receivedAt: now}
	return []Send{{To: m.Addr, Msg: Ping{Seq: d.seq, Name: m.Name}}}
}

// OnAck handles the answer to a ping, or forwards it to the member on whose behalf the ping was sent.
func (d *Detector) OnAck(now time.Duration, m Ack) []Send {
	if r, ok := d.relays[m.Seq]; ok {
		delete(d.relays, m.Seq)
		return []Send{{To: r.to, Msg: Ack{Seq: r.seq}}}
	}
	if p, ok := d.probes[m.Seq]; ok {
		delete(d.probes, m.Seq)
		d.lastPing[p.target] = now
		if d.Table.rows[p.target].State != Left {
			d.lastAckAt = now
		}
	}
	return nil
}

// Tick declares members dead that were suspect for SuspicionTimeout, asks helpers about unanswered pings, marks members as suspect, and pings
// the members that are due.
func (d *Detector) Tick(now time.Duration) []Send {
	if now-d.lastTickAt > d.cfg.PauseGap {
		d.restartAfterPause(now)
	}
	d.lastTickAt = now
	all := d.Table.All()
	d.declareDead(now, all)
	sends := d.checkProbes(now, all)
	d.choosePinged(all)
	for _, m := range all {
		if d.pingDue(now, m) {
			sends = append(sends, d.ping(now, m))
		}
	}
	return sends
}

// restartAfterPause drops the pending probes and restarts the suspicion timeouts after this machine was frozen: answers may have been lost
// through no fault of the other members.
func (d *Detector) restartAfterPause(now time.Duration) {
	d.probes = map[uint64]*probe{}
	for name := range d.suspectSince {
		d.suspectSince[name] = now
	}
}

// declareDead declares members dead that were suspect for SuspicionTimeout. While this member is isolated, it restarts the timeouts instead.
func (d *Detector) declareDead(now time.Duration, all []Member) {
	isolated := d.Isolated(now)
	for _, m := range all {
		since, suspected := d.suspectSince[m.Name]
		if !suspected {
			continue
		}
		if isolated {
			d.suspectSince[m.Name], since = now, now
		}
		if now-since >= d.cfg.SuspicionTimeout && m.State == Suspect {
			m.State = Dead
			d.set(now, m)
		}
	}
}
