package modelcheck

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mallowbridge/mallowbridge/register"
)

// Fingerprint is a hash of the whole state; the order of mail does not count.
func (c *RegisterState) Fingerprint() uint64 {
	var space [1024]byte
	b := space[:0]
	l := c.left
	b = append(b, l.Timers, l.Deadlines, l.Resends, l.Duplicates, l.LostReplies, l.Crashes, l.Restarts, l.Wipes, l.Replacements, l.Finishes, l.Learns, l.Disconnects)
	for at, p := range c.proposers {
		b = p.AppendFingerprint(append(b, c.boots[at]))
		b = c.known[at].AppendFingerprint(b)
	}
	for _, o := range c.open {
		b = append(b, byte(o.id), byte(o.proposer), byte(o.order), byte(o.floor.number), byte(o.floor.epoch), byte(o.floor.taken))
		for _, v := range o.begins {
			b = append(b, v.Disk...)
		}
	}
	for _, o := range c.orders {
		b = append(b, o.sent, truth(o.confirmed), truth(o.refused))
	}
	for _, call := range c.calls {
		b = append(b, byte(call.state), truth(call.barred), byte(call.after), byte(call.after>>8))
	}
	for _, t := range c.acknowledged {
		b = append(b, byte(t.number), byte(t.epoch), byte(t.taken), byte(t.hash), byte(t.hash>>8), byte(t.hash>>16), byte(t.hash>>24))
	}
	for _, id := range c.replaced {
		b = append(b, id...)
	}
	b = append(b, truth(c.broken != nil), byte(c.changes))
	return xxhash.Sum64(c.appendDisks(b))
}

// appendDisks appends a hash for each disk and all that concerns it. Where voters never change all disks are alike, so names and order
// are left out: states that differ by a permutation of the disks are one.
func (c *RegisterState) appendDisks(b []byte) []byte {
	var hashes [8]uint64
	for at, d := range c.disks {
		hashes[at] = c.hashDisk(d)
	}
	slices.Sort(hashes[:len(c.disks)])
	for _, hash := range hashes[:len(c.disks)] {
		b = binary.LittleEndian.AppendUint64(b, hash)
	}
	return b
}

func (c *RegisterState) hashDisk(d disk) uint64 {
	var space [512]byte
	b := d.appendFingerprint(space[:0])
	if len(c.disks) > c.plan.Voters {
		b = append(b, d.acceptor.Disk...)
	}
	for _, p := range c.proposers {
		b = p.AppendReplies(b, d.acceptor.Disk)
	}
	hash := xxhash.Sum64(b)
	for _, m := range c.mail {
		if m.disk == d.acceptor.Disk {
			hash += m.hash
		}
	}
	return hash
}

func hashOf(proposer int, msg message) uint64 {
	var space [256]byte
	b := append(space[:0], byte(proposer))
	switch m := msg.(type) {
	case register.Prepare:
		m.Disk = ""
		b = m.AppendFingerprint(append(b, 'p'))
	case register.Accept:
		m.Disk = ""
		b = m.AppendFingerprint(append(b, 'a'))
	case register.Promise:
		m.Disk = ""
		b = m.AppendFingerprint(append(b, 'P'))
	case register.Accepted:
		m.Disk = ""
		b = m.AppendFingerprint(append(b, 'A'))
	}
	return xxhash.Sum64(b)
}

func truth(yes bool) byte {
	if yes {
		return 1
	}
	return 0
}
