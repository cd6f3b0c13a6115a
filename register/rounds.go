package register

import "time"

// stragglerTimeout is how long a round that has a majority waits for the other voters if the operation is full.
const stragglerTimeout = 50 * time.Millisecond

// OnPromise handles the reply to a Prepare.
func (p *Proposer) OnPromise(now time.Duration, r Promise) {
	if p.current == nil || p.phase != preparing || r.RequestID != p.requestID {
		p.highestBallot = max(p.highestBallot, r.Promised.N)
		return
	}
	p.highestBallot = max(p.highestBallot, r.Promised.N)
	if p.endIfExpired(now) {
		return
	}
	if !r.OK {
		p.onRejectedPrepare(now)
		return
	}
	p.promises[r.Disk] = r
	if p.current.bootstrapValue != nil {
		p.continueBootstrap(now)
		return
	}
	if best := p.baseValue(); best != nil {
		p.known = best
		p.sendPrepares(best.AllVoters())
	}
	if len(p.promises) == len(p.asked) || (!p.current.full && p.hasQuorum()) {
		p.finishRound(now)
		return
	}
	if p.hasQuorum() {
		p.nextActionAt = min(p.nextActionAt, now+stragglerTimeout)
	}
}

// hasQuorum reports whether a majority has promised.
func (p *Proposer) hasQuorum() bool {
	return Quorum(p.known, func(d string) bool { _, ok := p.promises[d]; return ok })
}

// baseValue returns the value to build on: the accepted value with the highest ballot, or the newest value known to be chosen if that is
// newer.
func (p *Proposer) baseValue() *Value {
	v := p.highestAccepted()
	if p.knowsNewerThan(v) {
		return p.chosen
	}
	return v
}

// knowsNewerThan reports whether a value of the same fleet that is newer than v is known to be chosen.
func (p *Proposer) knowsNewerThan(v *Value) bool {
	return p.chosen.Newer(v) && (v == nil || v.Fleet == p.chosen.Fleet)
}

// highestAccepted returns the value with the highest accepted ballot in the promises, or nil.
func (p *Proposer) highestAccepted() *Value {
	var top Ballot
	var v *Value
	for _, r := range p.promises {
		if r.Value != nil && (v == nil || top.Less(r.Accepted)) {
			v, top = r.Value, r.Accepted
		}
	}
	return v
}

// continueBootstrap continues a bootstrap after a promise. If a disk has a value, a register exists already: either the one that an
// earlier attempt of this bootstrap created, or another one. That value is then completed like any change and never replaced by the first value.
func (p *Proposer) continueBootstrap(now time.Duration) {
	first := p.current.bootstrapValue
	if best := p.baseValue(); best != nil {
		p.known = best
	}
	if p.known != first {
		p.prepare(now)
		return
	}
	if len(p.promises) == len(first.AllVoters()) {
		p.proposeValue(now, first, true)
	}
}

// convertBootstrap turns a bootstrap into a check whether the existing register is its own, once a register is known.
func (p *Proposer) convertBootstrap() {
	first := p.current.bootstrapValue
	if first == nil || p.known == first {
		return
	}
	p.current.bootstrapValue, p.current.change = nil, unguarded(confirmBootstrap(first.Fleet))
}

// confirmBootstrap returns the change for a bootstrap that has found a register. It succeeds if the register is that of the bootstrap.
func confirmBootstrap(fleet string) Change {
	return func(cur *Value) (*Value, error) {
		if cur.Fleet == fleet {
			return nil, nil
		}
		return nil, &ConflictError{Version: cur.Version}
	}
}

// onQuorum continues the operation after a majority has promised: it ends the operation, or proposes a value.
func (p *Proposer) onQuorum(now time.Duration) {
	p.measureRoundTrip(now)
	base := p.baseValue()
	if base == nil {
		p.endOperation(now, nil, &NotBootstrappedError{})
		return
	}
	if p.readOnly && !p.chosenByMajority() {
		p.current.readOnlyFailed = true
		p.prepare(now)
		return
	}
	next := base
	if p.current.change != nil {
		changed, err := p.current.change(base.Clone(), &p.current.guard)
		if err != nil && p.isDecided() {
			p.endOperation(now, base, err)
			return
		}
		if err == nil && changed != nil {
			next = changed
		}
	}
	if next == base && p.isDecided() && (!p.current.full || p.acceptedByAllVoters()) {
		p.endOperation(now, base, nil)
		return
	}
	p.proposeValue(now, next, next != base)
}

// isDecided reports whether the value read is chosen and no earlier proposal of this operation can still be chosen, because none has a higher
// ballot than the value. Otherwise a disk that accepted the proposal could cause it to be proposed again after the operation was rejected.
func (p *Proposer) isDecided() bool {
	return p.chosenByMajority() && !p.highestAcceptedBallot().Less(p.current.proposedBallot)
}

// chosenByMajority reports whether a majority returned the same ballot, whose value is then chosen, and no newer chosen value is known.
func (p *Proposer) chosenByMajority() bool {
	if p.knowsNewerThan(p.highestAccepted()) {
		return false
	}
	top := p.highestAcceptedBallot()
	return Quorum(p.known, func(d string) bool {
		r, ok := p.promises[d]
		return ok && r.Accepted == top
	})
}

// highestAcceptedBallot returns the highest accepted ballot in the promises.
func (p *Proposer) highestAcceptedBallot() Ballot {
	var top Ballot
	for _, r := range p.promises {
		if r.Value != nil && top.Less(r.Accepted) {
			top = r.Accepted
		}
	}
	return top
}

// acceptedByAllVoters reports whether all voters have accepted the value with the highest ballot.
func (p *Proposer) acceptedByAllVoters() bool {
	top := p.highestAcceptedBallot()
	for _, v := range p.known.AllVoters() {
		if r, ok := p.promises[v.Disk]; !ok || r.Accepted != top {
			return false
		}
	}
	return true
}

// proposeValue starts an accept round. The value goes to the voters of both the value that it is based on and itself. changed means that it
// contains the operation's change.
func (p *Proposer) proposeValue(now time.Duration, v *Value, changed bool) {
	p.requestID++
	p.phase, p.nextActionAt, p.proposed = accepting, now+p.RoundTimeout, v
	p.acceptedBy = map[string]bool{}
	if changed {
		p.current.proposed, p.current.proposedBallot = true, p.ballot
	}
	to := p.known.AllVoters()
	for _, s := range v.AllVoters() {
		if !hasDisk(to, s.Disk) {
			to = append(to, s)
		}
	}
	for _, s := range to {
		p.sends = append(p.sends, Send{Disk: s.Disk, Msg: Accept{RequestID: p.requestID, Disk: s.Disk, Ballot: p.ballot, Value: v}})
	}
}

func hasDisk(vs []Voter, disk string) bool {
	for _, v := range vs {
		if v.Disk == disk {
			return true
		}
	}
	return false
}

// OnAccepted handles the reply to an Accept. Once a majority has accepted the value it is chosen, even after the deadline.
func (p *Proposer) OnAccepted(now time.Duration, r Accepted) {
	p.highestBallot = max(p.highestBallot, r.Promised.N)
	if p.current == nil || p.phase != accepting || r.RequestID != p.requestID {
		return
	}
	if !r.OK {
		if hasDisk(p.known.AllVoters(), r.Disk) {
			p.scheduleRetry(now)
		}
		return
	}
	p.acceptedBy[r.Disk] = true
	if !Quorum(p.known, func(d string) bool { return p.acceptedBy[d] }) {
		return
	}
	p.known = p.proposed
	p.endOperation(now, p.proposed, p.changeResult())
}

// changeResult runs the change on the chosen value and returns its error, which says why the change was rejected if another value was chosen.
func (p *Proposer) changeResult() error {
	if p.current.change == nil {
		return nil
	}
	_, err := p.current.change(p.proposed.Clone(), &p.current.guard)
	return err
}

// finishRound ends a round that has timed out or has all the replies that it needs.
func (p *Proposer) finishRound(now time.Duration) {
	if p.phase == preparing && p.current.bootstrapValue == nil && p.hasQuorum() {
		p.onQuorum(now)
		return
	}
	p.scheduleRetry(now)
}
