package modelcheck

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/mallowbridge/mallowbridge/register"
)

// InvariantError reports a broken invariant and the state or result that breaks it.
type InvariantError struct{ Invariant, Detail string }

func (e *InvariantError) Error() string { return e.Invariant + ": " + e.Detail }

// version orders values: by the version of the value, then by the epoch of the voters, then by the number of applied orders, which is 0 in models
// without evacuations.
type version struct{ number, epoch, appliedOrders uint64 }

func (m *RegisterModel) versionOf(v *register.Value) version {
	if m.hasEvacuations() {
		return version{number: v.Version, epoch: v.Epoch, appliedOrders: v.AppliedOrders}
	}
	return version{number: v.Version, epoch: v.Epoch}
}

func (v version) olderThan(o version) bool {
	if v.number != o.number {
		return v.number < o.number
	}
	return v.epoch < o.epoch || (v.epoch == o.epoch && v.appliedOrders < o.appliedOrders)
}

// acknowledged is the version of a value that an operation returned, and a hash of the whole value.
type acknowledged struct {
	version
	hash uint64
}

func (m *RegisterModel) acknowledgedOf(v *register.Value) acknowledged {
	return acknowledged{version: m.versionOf(v), hash: xxhash.Sum64(v.AppendFingerprint(nil))}
}

// checkResult checks the result of an operation against everything that was acknowledged before, and records the returned value.
func (s *RegisterState) checkResult(o operation, r register.Result) {
	if r.Value != nil {
		s.fail(s.checkOneValuePerVersion(r.Value))
		s.fail(s.checkOneHistory(r.Value))
		s.fail(s.checkReadNotStale(o, r.Value))
		s.fail(s.checkConfirmedSurvives(r.Value))
		s.fail(s.checkRejectedNotApplied(r.Value))
		s.fail(s.checkAppliedOnce(r.Value))
		s.fail(s.checkLostVoterStaysOut(r.Value))
		s.recordAcknowledged(r.Value)
	}
	switch {
	case o.request < 0:
	case s.model.Requests[o.request].isEvacuation():
		s.checkEvacuationResult(o.id, r)
	default:
		s.fail(s.checkRequestResult(o, r))
	}
}

// fail records the first broken invariant; a nil error is ignored.
func (s *RegisterState) fail(err error) {
	if s.brokenInvariant == nil {
		s.brokenInvariant = err
	}
}

// recordAcknowledged adds a value to the acknowledged ones and updates the latest.
func (s *RegisterState) recordAcknowledged(v *register.Value) {
	entry := s.model.acknowledgedOf(v)
	if !slices.Contains(s.acknowledged, entry) {
		s.acknowledged = append(s.acknowledged, entry)
		slices.SortFunc(s.acknowledged, func(a, b acknowledged) int { return sign(a.olderThan(b.version)) })
	}
	if s.model.versionOf(s.latest).olderThan(s.model.versionOf(v)) {
		s.recordReplaced(v)
		s.latest = v
	}
}

// sign returns the result of a comparison: -1 for less, otherwise 1.
func sign(less bool) int {
	if less {
		return -1
	}
	return 1
}

// checkOneValuePerVersion checks that two different values are never acknowledged with the same version and epoch.
func (s *RegisterState) checkOneValuePerVersion(v *register.Value) error {
	current := s.model.acknowledgedOf(v)
	for _, before := range s.acknowledged {
		if before.version == current.version && before.hash != current.hash {
			return &InvariantError{Invariant: "one value per version", Detail: fmt.Sprintf("version %d epoch %d has two values", v.Version, v.Epoch)}
		}
	}
	return nil
}

// checkOneHistory checks that of two acknowledged values, the one of the later version never has the earlier epoch, because each value is made
// from the one before it.
func (s *RegisterState) checkOneHistory(v *register.Value) error {
	current := s.model.versionOf(v)
	for _, before := range s.acknowledged {
		if (current.number < before.number && current.epoch > before.epoch) || (current.number > before.number && current.epoch < before.epoch) {
			return &InvariantError{Invariant: "acknowledged values form one history", Detail: fmt.Sprintf("version %d epoch %d and version %d epoch %d", current.number, current.epoch, before.number, before.epoch)}
		}
	}
	return nil
}

// checkReadNotStale checks that an operation returns no value that is older than one acknowledged before the operation started.
func (s *RegisterState) checkReadNotStale(o operation, v *register.Value) error {
	if s.model.versionOf(v).olderThan(o.minVersion) {
		return &InvariantError{Invariant: "a read is never stale", Detail: fmt.Sprintf("read version %d epoch %d, but version %d epoch %d was acknowledged before the operation started", v.Version, v.Epoch, o.minVersion.number, o.minVersion.epoch)}
	}
	return nil
}

// checkConfirmedSurvives checks that a value at least as new as the latest acknowledged one has every confirmed request in its order log.
func (s *RegisterState) checkConfirmedSurvives(v *register.Value) error {
	for i, p := range s.requests {
		o := s.model.Requests[i]
		if p.confirmed && !o.isRead() && !o.recordedIn(v) && !s.model.versionOf(v).olderThan(s.model.versionOf(s.latest)) {
			return &InvariantError{Invariant: "a confirmed request is never lost", Detail: fmt.Sprintf("request %s is not in version %d", o.ID, v.Version)}
		}
	}
	return nil
}

// checkRejectedNotApplied checks that no value contains a request that was rejected because of its base, no matter how often it was sent.
func (s *RegisterState) checkRejectedNotApplied(v *register.Value) error {
	for i, p := range s.requests {
		if p.rejected && s.model.Requests[i].recordedIn(v) {
			return &InvariantError{Invariant: "an applied request is never rejected", Detail: fmt.Sprintf("request %s was rejected and is in version %d", s.model.Requests[i].ID, v.Version)}
		}
	}
	return nil
}

// checkAppliedOnce checks that an edit changes the document only once, no matter how often it is sent.
func (s *RegisterState) checkAppliedOnce(v *register.Value) error {
	for _, o := range s.model.Requests {
		if strings.Count(string(v.Document), o.ID) > 1 {
			return &InvariantError{Invariant: "a request is applied once", Detail: fmt.Sprintf("request %s is applied more than once in version %d", o.ID, v.Version)}
		}
	}
	return nil
}

// checkLostVoterStaysOut checks that no change of voters adds a disk again that was lost and replaced.
func (s *RegisterState) checkLostVoterStaysOut(v *register.Value) error {
	for _, w := range v.AllVoters() {
		if slices.Contains(s.replacedDisks, w.Disk) && !s.model.versionOf(v).olderThan(s.model.versionOf(s.latest)) {
			return &InvariantError{Invariant: "a replaced voter stays out", Detail: fmt.Sprintf("disk %s was lost and replaced, and is a voter again", w.Disk)}
		}
	}
	return nil
}

// recordReplaced records the lost disks that are voters in the latest acknowledged value but not in v.
func (s *RegisterState) recordReplaced(v *register.Value) {
	for _, w := range s.latest.AllVoters() {
		if s.diskIndex(w.Disk) < 0 && !slices.Contains(v.AllVoters(), w) {
			s.replacedDisks = append(slices.Clone(s.replacedDisks), w.Disk)
		}
	}
}

// countLost returns how many of the voters have lost their disk.
func (s *RegisterState) countLost(voters []register.Voter) int {
	var n int
	for _, v := range voters {
		if s.diskIndex(v.Disk) < 0 {
			n++
		}
	}
	return n
}

// checkRequestResult checks that a confirmed request is in the order log, that no two requests with the same base are confirmed, and that an applied
// request is not rejected.
func (s *RegisterState) checkRequestResult(o operation, r register.Result) error {
	request, progress := s.model.Requests[o.request], &s.requests[o.request]
	var conflict *register.ConflictError
	switch {
	case request.isRead():
		return nil
	case r.Err == nil:
		progress.confirmed = true
	case errors.As(r.Err, &conflict):
		progress.rejected = true
	default:
		return nil
	}
	recorded := request.recordedIn(r.Value)
	switch {
	case progress.rejected && progress.confirmed, progress.rejected && recorded:
		return &InvariantError{Invariant: "an applied request is never rejected", Detail: "request " + request.ID}
	case progress.confirmed && !recorded:
		return &InvariantError{Invariant: "a confirmed request is recorded", Detail: "request " + request.ID}
	}
	return s.checkOnePerBase(o.request)
}

// checkOnePerBase checks that at most one of the requests with the same kind and base is confirmed.
func (s *RegisterState) checkOnePerBase(index int) error {
	request := s.model.Requests[index]
	for other, o := range s.model.Requests {
		if other != index && !o.isRead() && o.Kind == request.Kind && o.BaseVersion == request.BaseVersion && s.requests[other].confirmed && s.requests[index].confirmed {
			return &InvariantError{Invariant: "one confirmed request per base", Detail: fmt.Sprintf("%s and %s are both confirmed on base %d", request.ID, o.ID, o.BaseVersion)}
		}
	}
	return nil
}

// checkMajorityHasLatest checks that every quorum that can still be formed from the voters of the latest acknowledged value has a disk with that
// value or a newer one on stable storage.
func (s *RegisterState) checkMajorityHasLatest() error {
	without := register.Quorum(s.latest, func(id string) bool {
		i := s.diskIndex(id)
		return i >= 0 && s.olderThanLatest(s.disks[i].durable.Value)
	})
	if without {
		return &InvariantError{Invariant: "every remaining quorum has the latest value", Detail: fmt.Sprintf("no disk of a quorum has version %d epoch %d", s.latest.Version, s.latest.Epoch)}
	}
	return nil
}

func (s *RegisterState) olderThanLatest(v *register.Value) bool {
	return v == nil || s.model.versionOf(v).olderThan(s.model.versionOf(s.latest))
}

// checkMajorityLeft checks that a quorum of the voters still has its disks after a loss.
func (s *RegisterState) checkMajorityLeft() error {
	if !register.Quorum(s.latest, func(id string) bool { return s.diskIndex(id) >= 0 }) {
		return &InvariantError{Invariant: "a quorum is left", Detail: fmt.Sprintf("too many lost disks among the voters %v", s.latest.AllVoters())}
	}
	return nil
}
