package modelcheck

import (
	"encoding/binary"
	"slices"

	"github.com/mallowbridge/mallowbridge/register"
)

// disk is one machine's acceptor and what of it is on stable storage. As in the running node an answer waits for every write
// that was ordered before it, and a crash loses what was not written.
type disk struct {
	name     string
	acceptor register.Acceptor
	synced   register.State
	unsynced []mail
	wiped    uint8
}

func (d disk) appendFingerprint(b []byte) []byte {
	now, kept := d.acceptor.State, d.synced
	now.Disk, kept.Disk = "", ""
	b = now.AppendFingerprint(append(b, d.wiped, byte(len(d.unsynced))))
	if !sameState(now, kept) {
		b = kept.AppendFingerprint(b)
	}
	for _, m := range d.unsynced {
		b = binary.LittleEndian.AppendUint64(b, m.hash)
	}
	return b
}

func sameState(a, b register.State) bool {
	return a.Disk == b.Disk && a.Promised == b.Promised && a.Accepted == b.Accepted && a.Value == b.Value
}

// receive has the acceptor obey a request and returns its answer, if it may leave at once.
func (c *RegisterState) receive(m mail, at int) (mail, bool) {
	d := &c.disks[at]
	write, ours := false, false
	var answer mail
	switch request := m.msg.(type) {
	case register.Prepare:
		var r register.Promise
		r, write = c.plan.Protocol.Prepare(&d.acceptor, request)
		answer, ours = newMail(m.proposer, r.Disk, r), r.Disk != ""
	case register.Accept:
		var r register.Accepted
		r, write = c.plan.Protocol.Accept(&d.acceptor, request)
		answer, ours = newMail(m.proposer, r.Disk, r), r.Disk != ""
	}
	if !c.plan.DelayedWrites {
		d.synced = d.acceptor.State
		return answer, ours
	}
	if !ours {
		return answer, false
	}
	if c.plan.Protocol.ReplyBeforeWrite || (!write && sameState(d.synced, d.acceptor.State) && len(d.unsynced) == 0) {
		return answer, true
	}
	d.unsynced = append(slices.Clone(d.unsynced), answer)
	return answer, false
}

// unwritten tells whether a crash would lose something.
func (d disk) unwritten() bool { return len(d.unsynced) > 0 || !sameState(d.synced, d.acceptor.State) }

// sync writes everything that waits and lets the answers leave.
func (c *RegisterState) sync(at int) {
	d := &c.disks[at]
	d.synced = d.acceptor.State
	pending := d.unsynced
	d.unsynced = nil
	for _, m := range pending {
		c.reply(m)
	}
}

// crash restarts the disk's machine on what was written.
func (c *RegisterState) crash(at int) {
	d := &c.disks[at]
	d.acceptor.State, d.unsynced = d.synced, nil
}

// wipe restarts the machine on an empty disk, which gets an id of its own.
func (c *RegisterState) wipe(at int) {
	d := &c.disks[at]
	d.wiped++
	replacement := d.name + string(rune('1'+d.wiped))
	d.synced = c.plan.Protocol.StateAfterWipe(d.synced, replacement)
	d.acceptor.State, d.unsynced = d.synced, nil
	c.mail = slices.DeleteFunc(c.mail, func(m mail) bool {
		return m.request() && c.diskOf(m.disk) < 0
	})
}

// request tells a request to a disk from an answer.
func (m mail) request() bool {
	switch m.msg.(type) {
	case register.Prepare, register.Accept:
		return true
	}
	return false
}

// useless finds mail whose delivery can change nothing any more, now or later: its proposer waits for another round, and the disk
// has promised more or accepted the same.
func (c *RegisterState) useless(m mail) bool {
	if c.forgotten(m) {
		return true
	}
	p := c.proposers[m.proposer]
	switch r := m.msg.(type) {
	case register.Promise:
		return !p.Expects(r.RequestID, r.Promised)
	case register.Accepted:
		return !p.Expects(r.RequestID, r.Promised)
	case register.Prepare:
		kept := c.disks[c.diskOf(r.Disk)].synced
		decided := r.ReadOnly || r.Ballot.Less(kept.Promised) || r.Ballot == kept.Promised
		return decided && !p.Expects(r.RequestID, kept.Promised)
	case register.Accept:
		kept := c.disks[c.diskOf(r.Disk)].synced
		decided := r.Ballot.Less(kept.Promised) || r.Ballot == kept.Accepted
		return decided && !p.Expects(r.RequestID, kept.Promised)
	}
	return false
}
