package modelcheck

import (
	"slices"

	"github.com/mallowbridge/mallowbridge/register"
)

// AtomicRounds is a partial-order reduction: all prepares that complete a round of a proposer are one event, and prepares whose reply is no
// longer expected are dropped. It is sound for the following reasons.
//
//   - Let the disks of a quorum promise ballot b at different times, the last one being disk e. No higher ballot reaches any of these disks
//     before that disk promises b, or the disk would reject b. Whatever a higher ballot does at another disk of the quorum before e replies
//     comes after that disk's promise of b, so it commutes with the delivery at e. The delivery at e can therefore be moved to an earlier
//     time, and in the end all disks of the quorum reply at the same time.
//   - A round that does not complete only makes its disks reject lower ballots. That is equivalent to the loss of those messages and the
//     firing of their proposer's timer, which the budget of timers covers.
//
// The reduction does not cover a proposer that learns a newer value, or a disk that crashes, in the middle of a round; models without
// AtomicRounds cover these cases. Read-only prepares, which get no promise, are not part of a round.

// A path is a list of disks in an operand of an event: pathBits bits for each disk, with the disk's index plus one, the first disk in the
// lowest bits.
const (
	pathBits = 3
	pathMask = 1<<pathBits - 1
	// maxPathDisks is the number of disks that fit into a path.
	maxPathDisks = 5
)

// belongsToRound reports whether a message is a prepare that is delivered only together with its round. Read-only prepares and prepares that the
// acceptor would reject are delivered one by one.
func (s *RegisterState) belongsToRound(m envelope) bool {
	prepare, ok := m.msg.(register.Prepare)
	if !ok || prepare.ReadOnly || !s.model.AtomicRounds {
		return false
	}
	return !prepare.Ballot.Less(s.disks[s.diskIndex(prepare.Disk)].acceptor.Promised)
}

// isAbandonedPrepare reports whether a message is a prepare whose reply the proposer no longer expects.
func (s *RegisterState) isAbandonedPrepare(m envelope) bool {
	prepare, ok := m.msg.(register.Prepare)
	return ok && s.model.AtomicRounds && !s.proposers[m.proposer].Expects(prepare.RequestID, register.Ballot{})
}

// partialRound is a round with the prepares delivered so far.
type partialRound struct {
	state *RegisterState
	// path lists the disks in the order of delivery, length is their number, and disks is the set of them, one bit per index.
	path   uint16
	disks  uint8
	length int
}

// roundEvents appends an event for each set of disks that can complete the proposer's current round. One order of delivery per set is enough, as
// the outcome depends only on the set.
func (s *RegisterState) roundEvents(events []Event, proposer int) []Event {
	seen := map[uint8]bool{}
	todo := []partialRound{{state: s}}
	for len(todo) > 0 {
		partial := todo[0]
		todo = todo[1:]
		for _, m := range partial.state.inFlight {
			if m.proposer != proposer || !partial.state.belongsToRound(m) {
				continue
			}
			disk := partial.state.diskIndex(m.disk)
			next := partialRound{path: partial.path | uint16(disk+1)<<(pathBits*partial.length), disks: partial.disks | 1<<disk, length: partial.length + 1}
			if seen[next.disks] || next.length > maxPathDisks {
				continue
			}
			seen[next.disks] = true
			next.state = partial.state.deliverPrepare(proposer, disk)
			if !next.state.proposers[proposer].Preparing() || next.state.proposers[proposer].RequestID() != s.proposers[proposer].RequestID() {
				events = append(events, Event{Kind: eventRound, Target: uint8(proposer), Arg: next.path})
				continue
			}
			todo = append(todo, next)
		}
	}
	return events
}

// deliverPrepare delivers the prepare of a proposer's round to one disk.
func (s *RegisterState) deliverPrepare(proposer, disk int) *RegisterState {
	next := s.clone()
	i := slices.IndexFunc(next.inFlight, func(m envelope) bool {
		return m.proposer == proposer && m.disk == next.disks[disk].acceptor.Disk && next.belongsToRound(m)
	})
	next.deliver(Event{Kind: eventDeliver, Arg: uint16(i)})
	return next
}

// deliverPath delivers the prepares of a proposer's round to the disks of a path, in order.
func (s *RegisterState) deliverPath(proposer int, path uint16) *RegisterState {
	next := s
	for ; path > 0; path >>= pathBits {
		next = next.deliverPrepare(proposer, int(path&pathMask)-1)
	}
	return next
}

// pathDiskIDs returns the ids of the disks of a path, each after a space.
func (s *RegisterState) pathDiskIDs(path uint16) string {
	var ids string
	for ; path > 0; path >>= pathBits {
		ids += " " + s.disks[path&pathMask-1].acceptor.Disk
	}
	return ids
}
