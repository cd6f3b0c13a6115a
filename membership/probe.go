package membership

import (
	"maps"
	"slices"
	"time"
)

// probe is a ping that was not answered yet. indirect is set once helpers were asked, or from the start if they must not be asked.
type probe struct {
	target   string
	sentAt   time.Duration
	indirect bool
}

// relay is a ping that was sent for another member. Its Ack is forwarded to that member with the sequence number seq.
type relay struct {
	to         string
	seq        uint64
	receivedAt time.Duration
}

// choosePinged computes which members this node pings: those that it watches, and its own watchers, whose answers show that it is not
// isolated. The result is kept until the table changes.
func (d *Detector) choosePinged(all []Member) {
	if d.pinged != nil && d.pingedGeneration == d.Table.generation {
		return
	}
	d.pinged, d.pingedGeneration = map[string]bool{}, d.Table.generation
	for _, name := range Watchers(d.Self, all) {
		d.pinged[name] = true
	}
	for _, m := range all {
		if isWatcher(d.Self, m, all) {
			d.pinged[m.Name] = true
		}
	}
}

// pingDue reports whether a member must be pinged now.
func (d *Detector) pingDue(now time.Duration, m Member) bool {
	since := now - d.lastPing[m.Name]
	switch {
	case m.Name == d.Self.Name || (m.State == Left && now-d.leftAt[m.Name] > leftPingFor):
		return false
	case m.State == Dead, m.State == Left:
		return since >= deadPingFactor*d.cfg.PingInterval
	}
	return d.pinged[m.Name] && since >= d.cfg.PingInterval
}

// ping returns a ping to a member and records the probe.
func (d *Detector) ping(now time.Duration, m Member) Send {
	d.lastPing[m.Name] = now
	d.seq++
	d.probes[d.seq] = &probe{target: m.Name, sentAt: now, indirect: !m.Live()}
	return Send{To: m.Addr, Msg: Ping{Seq: d.seq, Name: m.Name}}
}

// checkProbes asks helpers to ping members that did not answer in time, and marks members as suspect that did not answer the helpers either.
func (d *Detector) checkProbes(now time.Duration, all []Member) []Send {
	var sends []Send
	for _, seq := range slices.Sorted(maps.Keys(d.probes)) {
		p := d.probes[seq]
		m := d.Table.rows[p.target]
		if !p.indirect && now-p.sentAt >= d.cfg.DirectTimeout {
			p.indirect = true
			for _, helper := range d.helpers(all, p.target) {
				sends = append(sends, Send{To: helper.Addr, Msg: PingFor{Seq: seq, Addr: m.Addr, Name: m.Name}})
			}
		}
		if now-p.sentAt < d.cfg.DirectTimeout+d.cfg.IndirectTimeout {
			continue
		}
		delete(d.probes, seq)
		if m.State == Alive && !d.Isolated(now) {
			m.State = Suspect
			d.set(now, m)
		}
	}
	for seq, r := range d.relays {
		if now-r.receivedAt > relayTimeout {
			delete(d.relays, seq)
		}
	}
	return sends
}

// helpers returns up to cfg.Helpers random members that can ping the target.
func (d *Detector) helpers(all []Member, target string) []Member {
	var members []Member
	for _, m := range all {
		if m.State == Alive && m.Name != d.Self.Name && m.Name != target {
			members = append(members, m)
		}
	}
	d.rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(d.cfg.Helpers, len(members))]
}

// trackLeft records when this node first learned that a member left.
func (d *Detector) trackLeft(now time.Duration, old, m Member) {
	switch {
	case m.State != Left:
		delete(d.leftAt, m.Name)
	case old.State != Left:
		d.leftAt[m.Name] = now
	}
}
