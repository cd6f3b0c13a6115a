package modelcheck

import (
	"slices"

	"github.com/mallowbridge/mallowbridge/register"
)

// Where a plan has Rounds, the prepares of one round that bring it to its end are one event, and prepares that nobody waits for any more
// are lost. Let a round with ballot b be promised by the disks of a quorum at different times, the last at e. A higher ballot touches none
// of these disks before its promise to b, else that promise were refused; what a higher ballot did before e answered stands behind the
// promise at its own disk, and commutes with the delivery at e. So e may answer earlier, until all answer at once. A round that doesn't
// end only has its disks refuse lower ballots, which is as if those messages were lost and their proposer's timer fired: the budget of
// timers counts that. Not kept is a proposer that hears of a newer value, or a disk that crashes, in the midst of a round: worlds without
// Rounds have those. Reads that promise nothing (looks) are delivered one by one.

// Paths are lists of disks, packed into an operand of an event: pathBits each, one more than the place, the first lowest.
const (
	pathBits = 3
	pathMask = 1<<pathBits - 1
	// pathDisks is how many disks a path can name.
	pathDisks = 5
)

// gathered tells whether a request belongs to a round that is delivered as a whole: it is not refused.
func (c *RegisterState) gathered(m mail) bool {
	prepare, ok := m.msg.(register.Prepare)
	if !ok || prepare.ReadOnly || !c.plan.AtomicRounds {
		return false
	}
	return !prepare.Ballot.Less(c.disks[c.diskOf(prepare.Disk)].acceptor.Promised)
}

// forgotten tells whether a request is a prepare whose answer nobody waits for.
func (c *RegisterState) forgotten(m mail) bool {
	prepare, ok := m.msg.(register.Prepare)
	return ok && c.plan.AtomicRounds && !c.proposers[m.proposer].Expects(prepare.RequestID, register.Ballot{})
}

type partialRound struct {
	world *RegisterState
	path  uint16
	disks uint8
	steps int
}

// rounds are the ends that the present round of a proposer can come to, each by one order of its answers: what has been gathered counts,
// not in which order.
func (c *RegisterState) rounds(events []Event, at int) []Event {
	seen := map[uint8]bool{}
	todo := []partialRound{{world: c}}
	for len(todo) > 0 {
		part := todo[0]
		todo = todo[1:]
		for _, m := range part.world.mail {
			if m.proposer != at || !part.world.gathered(m) {
				continue
			}
			disk := part.world.diskOf(m.disk)
			next := partialRound{path: part.path | uint16(disk+1)<<(pathBits*part.steps), disks: part.disks | 1<<disk, steps: part.steps + 1}
			if seen[next.disks] || next.steps > pathDisks {
				continue
			}
			seen[next.disks] = true
			next.world = part.world.gather(at, disk)
			if !next.world.proposers[at].Preparing() || next.world.proposers[at].RequestID() != c.proposers[at].RequestID() {
				events = append(events, Event{Kind: round, Target: uint8(at), Arg: next.path})
				continue
			}
			todo = append(todo, next)
		}
	}
	return events
}

// gather delivers the prepare of a proposer's round to one disk.
func (c *RegisterState) gather(at, disk int) *RegisterState {
	next := c.clone()
	i := slices.IndexFunc(next.mail, func(m mail) bool {
		return m.proposer == at && m.disk == next.disks[disk].acceptor.Disk && next.gathered(m)
	})
	next.carry(Event{Kind: deliver, Arg: uint16(i)})
	return next
}

// gatherAll follows a path.
func (c *RegisterState) gatherAll(at int, path uint16) *RegisterState {
	next := c
	for ; path > 0; path >>= pathBits {
		next = next.gather(at, int(path&pathMask)-1)
	}
	return next
}

// pathNames are the disks of a path.
func (c *RegisterState) pathNames(path uint16) string {
	var names string
	for ; path > 0; path >>= pathBits {
		names += " " + c.disks[path&pathMask-1].acceptor.Disk
	}
	return names
}
