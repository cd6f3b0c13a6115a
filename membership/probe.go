package membership

import (
	"maps"
	"slices"
	"time"
)

// checkProbes asks helpers about pings that stay unanswered, and suspects members that do not answer those either.
func (k *Detector) checkProbes(now time.Duration, all []Member) []Send {
	var sends []Send
	for _, seq := range slices.Sorted(maps.Keys(k.probes)) {
		p := k.probes[seq]
		m := k.Table.rows[p.target]
		if !p.indirect && now-p.sentAt >= k.cfg.DirectTimeout {
			p.indirect = true
			for _, h := range k.helpers(all, p.target) {
				sends = append(sends, Send{To: h.Addr, Msg: PingFor{Seq: seq, Addr: m.Addr, Name: m.Name}})
			}
		}
		if now-p.sentAt < k.cfg.DirectTimeout+k.cfg.IndirectTimeout {
			continue
		}
		delete(k.probes, seq)
		if m.State == Alive && !k.Isolated(now) {
			m.State = Suspect
			k.set(now, m)
		}
	}
	for seq, r := range k.relays {
		if now-r.receivedAt > relayFor {
			delete(k.relays, seq)
		}
	}
	return sends
}

// helpers draws members to ping the target.
func (k *Detector) helpers(all []Member, target string) []Member {
	var ms []Member
	for _, m := range all {
		if m.State == Alive && m.Name != k.Self.Name && m.Name != target {
			ms = append(ms, m)
		}
	}
	k.rng.Shuffle(len(ms), func(i, j int) { ms[i], ms[j] = ms[j], ms[i] })
	return ms[:min(k.cfg.Helpers, len(ms))]
}

// noteLeft notes when a member is first heard to have left.
func (k *Detector) noteLeft(now time.Duration, old, m Member) {
	switch {
	case m.State != Left:
		delete(k.leftAt, m.Name)
	case old.State != Left:
		k.leftAt[m.Name] = now
	}
}
