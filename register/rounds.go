package register

import "time"

const stragglerWait = 50 * time.Millisecond

// OnPromise takes the answer to a Prepare.
func (p *Proposer) OnPromise(now time.Duration, r Promise) {
	if p.current == nil || p.phase != preparing || r.RequestID != p.requestID {
		p.highestBallot = max(p.highestBallot, r.Promised.N)
		return
	}
	p.highestBallot = max(p.highestBallot, r.Promised.N)
	if p.expired(now) {
		return
	}
	if !r.OK {
		p.preempted(now)
		return
	}
	p.promises[r.Disk] = r
	if p.current.bootstrapValue != nil {
		p.bootstrapped(now)
		return
	}
	if best := p.baseValue(); best != nil {
		p.voters = best
		p.prepareAt(best.AllVoters())
	}
	if len(p.promises) == len(p.asked) || (!p.current.full && p.hasQuorum()) {
		p.finishRound(now)
		return
	}
	if p.hasQuorum() {
		p.nextActionAt = min(p.nextActionAt, now+stragglerWait)
	}
}

func (p *Proposer) hasQuorum() bool {
	return Quorum(p.voters, func(d string) bool { _, ok := p.promises[d]; return ok })
}

// baseValue is the value to build on: the one with the highest ballot, or the newest that is known to be chosen if that is newer still.
func (p *Proposer) baseValue() *Value {
	v := p.highestAccepted()
	if p.knowsNewer(v) {
		return p.chosen
	}
	return v
}

// knowsNewer says that a value of the same fleet is known to be chosen that is newer than v.
func (p *Proposer) knowsNewer(v *Value) bool {
	return p.chosen.Newer(v) && (v == nil || v.Fleet == p.chosen.Fleet)
}

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

// bootstrapped goes on with a bootstrap. Whatever a disk holds was accepted under a register that is there already, this one after an
// earlier try or another: it is finished like any change, never proposed over.
func (p *Proposer) bootstrapped(now time.Duration) {
	first := p.current.bootstrapValue
	if best := p.baseValue(); best != nil {
		p.voters = best
	}
	if p.voters != first {
		p.prepare(now)
		return
	}
	if len(p.promises) == len(first.AllVoters()) {
		p.proposeValue(now, first, true)
	}
}

// joinBootstrapped turns a bootstrap into a look for its own register, once any is known.
func (p *Proposer) joinBootstrapped() {
	first := p.current.bootstrapValue
	if first == nil || p.voters == first {
		return
	}
	p.current.bootstrapValue, p.current.change = nil, unfenced(confirmBootstrap(first.Fleet))
}

// confirmBootstrap is a bootstrap that finds a register: done where it is its own.
func confirmBootstrap(fleet string) Change {
	return func(cur *Value) (*Value, error) {
		if cur.Fleet == fleet {
			return nil, nil
		}
		return nil, &ConflictError{Version: cur.Version}
	}
}

func (p *Proposer) onQuorum(now time.Duration) {
	p.measureRoundTrip(now)
	base := p.baseValue()
	if base == nil {
		p.end(now, nil, &NotBootstrappedError{})
		return
	}
	if p.cheapRead && !p.chosenByMajority() {
		p.current.readFailed = true
		p.prepare(now)
		return
	}
	next := base
	if p.current.change != nil {
		changed, err := p.current.change(base.Clone(), &p.current.fence)
		if err != nil && p.decided() {
			p.end(now, base, err)
			return
		}
		if err == nil && changed != nil {
			next = changed
		}
	}
	if next == base && p.decided() && (!p.current.full || p.acceptedEverywhere()) {
		p.end(now, base, nil)
		return
	}
	p.proposeValue(now, next, next != base)
}

// decided says that what was read is chosen, and that nothing which the operation itself proposed can still be: it was proposed under no
// higher ballot. Otherwise a disk that holds the proposal may have it proposed again, after the operation was refused.
func (p *Proposer) decided() bool {
	return p.chosenByMajority() && !p.highestAcceptedBallot().Less(p.current.proposedBallot)
}

// chosenByMajority says that a majority answered with one value, which is then chosen, and that nothing newer is known.
func (p *Proposer) chosenByMajority() bool {
	if p.knowsNewer(p.highestAccepted()) {
		return false
	}
	top := p.highestAcceptedBallot()
	return Quorum(p.voters, func(d string) bool {
		r, ok := p.promises[d]
		return ok && r.Accepted == top
	})
}

func (p *Proposer) highestAcceptedBallot() Ballot {
	var top Ballot
	for _, r := range p.promises {
		if r.Value != nil && top.Less(r.Accepted) {
			top = r.Accepted
		}
	}
	return top
}

func (p *Proposer) acceptedEverywhere() bool {
	top := p.highestAcceptedBallot()
	for _, v := range p.voters.AllVoters() {
		if r, ok := p.promises[v.Disk]; !ok || r.Accepted != top {
			return false
		}
	}
	return true
}

func (p *Proposer) proposeValue(now time.Duration, v *Value, changed bool) {
	p.requestID++
	p.phase, p.nextActionAt, p.proposed = accepting, now+p.RoundTimeout, v
	p.acceptedBy = map[string]bool{}
	if changed {
		p.current.proposed, p.current.proposedBallot = true, p.ballot
	}
	to := p.voters.AllVoters()
	for _, s := range v.AllVoters() {
		if !contains(to, s.Disk) {
			to = append(to, s)
		}
	}
	for _, s := range to {
		p.sends = append(p.sends, Send{Disk: s.Disk, Msg: Accept{RequestID: p.requestID, Disk: s.Disk, Ballot: p.ballot, Value: v}})
	}
}

func contains(vs []Voter, disk string) bool {
	for _, v := range vs {
		if v.Disk == disk {
			return true
		}
	}
	return false
}

// OnAccepted takes the answer to an Accept. A majority that accepted has chosen the value, also after the deadline.
func (p *Proposer) OnAccepted(now time.Duration, r Accepted) {
	p.highestBallot = max(p.highestBallot, r.Promised.N)
	if p.current == nil || p.phase != accepting || r.RequestID != p.requestID {
		return
	}
	if !r.OK {
		if contains(p.voters.AllVoters(), r.Disk) {
			p.retry(now)
		}
		return
	}
	p.acceptedBy[r.Disk] = true
	if !Quorum(p.voters, func(d string) bool { return p.acceptedBy[d] }) {
		return
	}
	p.voters = p.proposed
	p.end(now, p.proposed, p.changeResult())
}

func (p *Proposer) changeResult() error {
	if p.current.change == nil {
		return nil
	}
	_, err := p.current.change(p.proposed.Clone(), &p.current.fence)
	return err
}

func (p *Proposer) finishRound(now time.Duration) {
	if p.phase == preparing && p.current.bootstrapValue == nil && p.hasQuorum() {
		p.onQuorum(now)
		return
	}
	p.retry(now)
}
