package modelcheck

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mallowbridge/mallowbridge/register"
)

// Fingerprint returns a hash of the whole state. It does not depend on the order of the messages in flight.
func (s *RegisterState) Fingerprint() uint64 {
	var space [1024]byte
	b := space[:0]
	budget := s.budget
	b = append(b, budget.Timers, budget.Deadlines, budget.Resends, budget.Duplicates, budget.LostReplies, budget.Crashes, budget.Restarts, budget.Wipes, budget.Replacements, budget.Finishes, budget.Learns, budget.Disconnects)
	for i, p := range s.proposers {
		b = p.AppendFingerprint(append(b, s.boots[i]))
		b = s.known[i].AppendFingerprint(b)
	}
	for _, o := range s.pending {
		b = append(b, byte(o.id), byte(o.proposer), byte(o.request), byte(o.minVersion.number), byte(o.minVersion.epoch), byte(o.minVersion.appliedOrders))
		for _, v := range o.newVoters {
			b = append(b, v.Disk...)
		}
	}
	for _, o := range s.requests {
		b = append(b, o.sent, boolByte(o.confirmed), boolByte(o.rejected))
	}
	for _, attempt := range s.attempts {
		b = append(b, byte(attempt.state), boolByte(attempt.mustNotApply), byte(attempt.unresolvedBefore), byte(attempt.unresolvedBefore>>8))
	}
	for _, a := range s.acknowledged {
		b = append(b, byte(a.number), byte(a.epoch), byte(a.appliedOrders), byte(a.hash), byte(a.hash>>8), byte(a.hash>>16), byte(a.hash>>24))
	}
	for _, id := range s.replacedDisks {
		b = append(b, id...)
	}
	b = append(b, boolByte(s.brokenInvariant != nil), byte(s.voterChanges))
	return xxhash.Sum64(s.appendDisks(b))
}

// appendDisks appends a hash for each disk and everything that concerns it. If the voters never change, all disks are equivalent. The ids and the
// order of the disks are then left out, so that states that differ only by a permutation of the disks count as one state.
func (s *RegisterState) appendDisks(b []byte) []byte {
	var hashes [8]uint64
	for i, d := range s.disks {
		hashes[i] = s.hashDisk(d)
	}
	slices.Sort(hashes[:len(s.disks)])
	for _, hash := range hashes[:len(s.disks)] {
		b = binary.LittleEndian.AppendUint64(b, hash)
	}
	return b
}

func (s *RegisterState) hashDisk(d disk) uint64 {
	var space [512]byte
	b := d.appendFingerprint(space[:0])
	if len(s.disks) > s.model.Voters {
		b = append(b, d.acceptor.Disk...)
	}
	for _, p := range s.proposers {
		b = p.AppendReplies(b, d.acceptor.Disk)
	}
	hash := xxhash.Sum64(b)
	for _, m := range s.inFlight {
		if m.disk == d.acceptor.Disk {
			hash += m.hash
		}
	}
	return hash
}

// hashMessage returns a hash of a message and its proposer, without the disk's id.
func hashMessage(proposer int, msg message) uint64 {
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

func boolByte(yes bool) byte {
	if yes {
		return 1
	}
	return 0
}
