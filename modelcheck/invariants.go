package modelcheck

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/mallowbridge/mallowbridge/register"
)

// InvariantError is a broken invariant: its name and how it broke.
type InvariantError struct{ Invariant, Detail string }

func (e *InvariantError) Error() string { return e.Invariant + ": " + e.Detail }

// version orders values: by revision, then by the epoch of the voters.
type version struct{ number, epoch, taken uint64 }

func (p *RegisterModel) versionOf(v *register.Value) version {
	if p.evacuations() {
		return version{number: v.Version, epoch: v.Epoch, taken: v.AppliedOrders}
	}
	return version{number: v.Version, epoch: v.Epoch}
}

func (v version) older(o version) bool {
	if v.number != o.number {
		return v.number < o.number
	}
	return v.epoch < o.epoch || (v.epoch == o.epoch && v.taken < o.taken)
}

// acknowledged is a version that a caller was told of, and a hash of all that the value holds.
type acknowledged struct {
	version
	hash uint64
}

func (p *RegisterModel) tell(v *register.Value) acknowledged {
	return acknowledged{version: p.versionOf(v), hash: xxhash.Sum64(v.AppendFingerprint(nil))}
}

// check judges an answer against all that was told before.
func (c *RegisterState) check(o operation, r register.Result) {
	if r.Value != nil {
		c.fail(c.oneValueAVersion(r.Value))
		c.fail(c.oneHistory(r.Value))
		c.fail(c.readNotOlder(o, r.Value))
		c.fail(c.confirmedSurvives(r.Value))
		c.fail(c.refusedIsNotTaken(r.Value))
		c.fail(c.appliedOnce(r.Value))
		c.fail(c.lostVoterStaysOut(r.Value))
		c.learnAcknowledged(r.Value)
	}
	switch {
	case o.order < 0:
	case c.plan.Requests[o.order].evacuates():
		c.evacuationAnswered(o.id, r)
	default:
		c.fail(c.orderAnswered(o, r))
	}
}

func (c *RegisterState) fail(err error) {
	if c.broken == nil {
		c.broken = err
	}
}

func (c *RegisterState) learnAcknowledged(v *register.Value) {
	t := c.plan.tell(v)
	if !slices.Contains(c.acknowledged, t) {
		c.acknowledged = append(c.acknowledged, t)
		slices.SortFunc(c.acknowledged, func(a, b acknowledged) int { return sign(a.older(b.version)) })
	}
	if c.plan.versionOf(c.latest).older(c.plan.versionOf(v)) {
		c.recordReplaced(v)
		c.latest = v
	}
}

func sign(less bool) int {
	if less {
		return -1
	}
	return 1
}

// oneValueAVersion: two different values are never told under one revision and epoch.
func (c *RegisterState) oneValueAVersion(v *register.Value) error {
	now := c.plan.tell(v)
	for _, before := range c.acknowledged {
		if before.version == now.version && before.hash != now.hash {
			return &InvariantError{Invariant: "one value a version", Detail: fmt.Sprintf("revision %d epoch %d stands for two values", v.Version, v.Epoch)}
		}
	}
	return nil
}

// oneHistory: of two values that were told the one of the later revision never has the earlier epoch, for each is made from the other.
func (c *RegisterState) oneHistory(v *register.Value) error {
	now := c.plan.versionOf(v)
	for _, before := range c.acknowledged {
		if (now.number < before.number && now.epoch > before.epoch) || (now.number > before.number && now.epoch < before.epoch) {
			return &InvariantError{Invariant: "told values are one history", Detail: fmt.Sprintf("revision %d epoch %d beside revision %d epoch %d", now.number, now.epoch, before.number, before.epoch)}
		}
	}
	return nil
}

// readNotOlder: an operation never brings a value older than what was told before it began.
func (c *RegisterState) readNotOlder(o operation, v *register.Value) error {
	if c.plan.versionOf(v).older(o.floor) {
		return &InvariantError{Invariant: "a read is never old", Detail: fmt.Sprintf("revision %d epoch %d was read, %d epoch %d was told before it began", v.Version, v.Epoch, o.floor.number, o.floor.epoch)}
	}
	return nil
}

// confirmedSurvives: every value that is at least as new as a confirmed order holds it in its history.
func (c *RegisterState) confirmedSurvives(v *register.Value) error {
	for at, p := range c.orders {
		o := c.plan.Requests[at]
		if p.confirmed && !o.reads() && !o.recorded(v) && !c.plan.versionOf(v).older(c.plan.versionOf(c.latest)) {
			return &InvariantError{Invariant: "what was confirmed survives", Detail: fmt.Sprintf("order %s is not in revision %d", o.ID, v.Version)}
		}
	}
	return nil
}

// refusedIsNotTaken: an order that was refused for its base is in no value, whether it was asked once or again.
func (c *RegisterState) refusedIsNotTaken(v *register.Value) error {
	for at, p := range c.orders {
		if p.refused && c.plan.Requests[at].recorded(v) {
			return &InvariantError{Invariant: "what was taken is never refused", Detail: fmt.Sprintf("order %s was refused and is in revision %d", c.plan.Requests[at].ID, v.Version)}
		}
	}
	return nil
}

// appliedOnce: an edit, however often it is sent, changes the document once.
func (c *RegisterState) appliedOnce(v *register.Value) error {
	for _, o := range c.plan.Requests {
		if strings.Count(string(v.Document), o.ID) > 1 {
			return &InvariantError{Invariant: "an order is applied once", Detail: fmt.Sprintf("order %s is twice in revision %d", o.ID, v.Version)}
		}
	}
	return nil
}

// lostVoterStaysOut: no change of voters brings back a disk that was lost and replaced.
func (c *RegisterState) lostVoterStaysOut(v *register.Value) error {
	for _, w := range v.AllVoters() {
		if slices.Contains(c.replaced, w.Disk) && !c.plan.versionOf(v).older(c.plan.versionOf(c.latest)) {
			return &InvariantError{Invariant: "a replaced voter stays out", Detail: fmt.Sprintf("disk %s is lost, was replaced, and is to vote again", w.Disk)}
		}
	}
	return nil
}

// recordReplaced remembers the lost disks that the newest value lets go.
func (c *RegisterState) recordReplaced(v *register.Value) {
	for _, w := range c.latest.AllVoters() {
		if c.diskOf(w.Disk) < 0 && !slices.Contains(v.AllVoters(), w) {
			c.replaced = append(slices.Clone(c.replaced), w.Disk)
		}
	}
}

func (c *RegisterState) lost(vs []register.Voter) int {
	var n int
	for _, v := range vs {
		if c.diskOf(v.Disk) < 0 {
			n++
		}
	}
	return n
}

// orderAnswered: an order is confirmed only if it is in the history, two on one base never both, and a taken one is not refused.
func (c *RegisterState) orderAnswered(o operation, r register.Result) error {
	order, p := c.plan.Requests[o.order], &c.orders[o.order]
	var conflict *register.ConflictError
	switch {
	case order.reads():
		return nil
	case r.Err == nil:
		p.confirmed = true
	case errors.As(r.Err, &conflict):
		p.refused = true
	default:
		return nil
	}
	pending := order.recorded(r.Value)
	switch {
	case p.refused && p.confirmed, p.refused && pending:
		return &InvariantError{Invariant: "what was taken is never refused", Detail: "order " + order.ID}
	case p.confirmed && !pending:
		return &InvariantError{Invariant: "what was confirmed is recorded", Detail: "order " + order.ID}
	}
	return c.oneOnABase(o.order)
}

// oneOnABase: of the orders on one base at most one is confirmed.
func (c *RegisterState) oneOnABase(at int) error {
	order := c.plan.Requests[at]
	for other, o := range c.plan.Requests {
		if other != at && !o.reads() && o.Kind == order.Kind && o.BaseVersion == order.BaseVersion && c.orders[other].confirmed && c.orders[at].confirmed {
			return &InvariantError{Invariant: "one order on a base", Detail: fmt.Sprintf("%s and %s on revision %d", order.ID, o.ID, o.BaseVersion)}
		}
	}
	return nil
}

// majorityHolds: whatever quorum of the newest told value's voters is left, one of it holds that value or a newer one on disk.
func (c *RegisterState) majorityHolds() error {
	without := register.Quorum(c.latest, func(id string) bool {
		at := c.diskOf(id)
		return at >= 0 && c.olderThanLatest(c.disks[at].synced.Value)
	})
	if without {
		return &InvariantError{Invariant: "every majority left holds the newest value", Detail: fmt.Sprintf("revision %d epoch %d is held by none of a quorum", c.latest.Version, c.latest.Epoch)}
	}
	return nil
}

func (c *RegisterState) olderThanLatest(v *register.Value) bool {
	return v == nil || c.plan.versionOf(v).older(c.plan.versionOf(c.latest))
}

// majorityLeft: as many voters are left as the tolerance promises.
func (c *RegisterState) majorityLeft() error {
	if !register.Quorum(c.latest, func(id string) bool { return c.diskOf(id) >= 0 }) {
		return &InvariantError{Invariant: "a majority is left", Detail: fmt.Sprintf("of %v", c.latest.AllVoters())}
	}
	return nil
}
