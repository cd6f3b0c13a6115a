package register

import "time"

const stragglerWait = 50 * time.Millisecond

// OnPromise takes the answer to a Prepare.
func (p *Proposer) OnPromise(now time.Duration, r Promise) {
	if p.cur == nil || p.phase != preparing || r.Rid != p.rid {
		p.top = max(p.top, r.Promised.N)
		return
	}
	p.top = max(p.top, r.Promised.N)
	if p.expired(now) {
		return
	}
	if !r.OK {
		p.outbid(now)
		return
	}
	p.got[r.Disk] = r
	if p.cur.first != nil {
		p.bootstrapped(now)
		return
	}
	if best := p.best(); best != nil {
		p.voters = best
		p.ask(best.All())
	}
	if len(p.got) == len(p.asked) || (!p.cur.full && p.hasQuorum()) {
		p.settle(now)
		return
	}
	if p.hasQuorum() {
		p.until = min(p.until, now+stragglerWait)
	}
}

func (p *Proposer) hasQuorum() bool {
	return Quorum(p.voters, func(d string) bool { _, ok := p.got[d]; return ok })
}

// best is the value to build on: the one with the highest ballot, or the newest that is known to be chosen if that is newer still.
func (p *Proposer) best() *Value {
	v := p.bestAnswer()
	if p.knowsNewer(v) {
		return p.chosen
	}
	return v
}

// knowsNewer says that a value of the same fleet is known to be chosen that is newer than v.
func (p *Proposer) knowsNewer(v *Value) bool {
	return p.chosen.Newer(v) && (v == nil || v.Fleet == p.chosen.Fleet)
}

func (p *Proposer) bestAnswer() *Value {
	var top Ballot
	var v *Value
	for _, r := range p.got {
		if r.Value != nil && (v == nil || top.Less(r.Accepted)) {
			v, top = r.Value, r.Accepted
		}
	}
	return v
}

// bootstrapped goes on with a founding. Whatever a disk holds was accepted under a register that is there already, this one after an
// earlier try or another: it is finished like any change, never offered over.
func (p *Proposer) bootstrapped(now time.Duration) {
	first := p.cur.first
	if best := p.best(); best != nil {
		p.voters = best
	}
	if p.voters != first {
		p.prepare(now)
		return
	}
	if len(p.got) == len(first.All()) {
		p.proposeValue(now, first, true)
	}
}

// findRegister turns a founding into a look for its own register, once any is known.
func (p *Proposer) findRegister() {
	first := p.cur.first
	if first == nil || p.voters == first {
		return
	}
	p.cur.first, p.cur.change = nil, unfenced(founded(first.Fleet))
}

// founded is a founding that finds a register: done where it is its own.
func founded(fleet string) Change {
	return func(cur *Value) (*Value, error) {
		if cur.Fleet == fleet {
			return nil, nil
		}
		return nil, &ConflictError{Mark: cur.Mark}
	}
}

func (p *Proposer) read(now time.Duration) {
	p.measure(now)
	base := p.best()
	if base == nil {
		p.end(now, nil, &NotBootstrappedError{})
		return
	}
	if p.look && !p.agreed() {
		p.cur.readFailed = true
		p.prepare(now)
		return
	}
	next := base
	if p.cur.change != nil {
		changed, err := p.cur.change(base.Clone(), &p.cur.fence)
		if err != nil && p.settled() {
			p.end(now, base, err)
			return
		}
		if err == nil && changed != nil {
			next = changed
		}
	}
	if next == base && p.settled() && (!p.cur.full || p.acceptedEverywhere()) {
		p.end(now, base, nil)
		return
	}
	p.proposeValue(now, next, next != base)
}

// settled says that what was read is chosen, and that nothing which the operation itself offered can still be: it was offered under no
// higher ballot. Otherwise a disk that holds the offer may have it proposed again, after the operation was refused.
func (p *Proposer) settled() bool {
	return p.agreed() && !p.topAccepted().Less(p.cur.offered)
}

// agreed says that a majority answered with one value, which is then chosen, and that nothing newer is known.
func (p *Proposer) agreed() bool {
	if p.knowsNewer(p.bestAnswer()) {
		return false
	}
	top := p.topAccepted()
	return Quorum(p.voters, func(d string) bool {
		r, ok := p.got[d]
		return ok && r.Accepted == top
	})
}

func (p *Proposer) topAccepted() Ballot {
	var top Ballot
	for _, r := range p.got {
		if r.Value != nil && top.Less(r.Accepted) {
			top = r.Accepted
		}
	}
	return top
}

func (p *Proposer) acceptedEverywhere() bool {
	top := p.topAccepted()
	for _, v := range p.voters.All() {
		if r, ok := p.got[v.Disk]; !ok || r.Accepted != top {
			return false
		}
	}
	return true
}

func (p *Proposer) proposeValue(now time.Duration, v *Value, changed bool) {
	p.rid++
	p.phase, p.until, p.proposed = accepting, now+p.Round, v
	p.yes = map[string]bool{}
	if changed {
		p.cur.exposed, p.cur.offered = true, p.ballot
	}
	to := p.voters.All()
	for _, s := range v.All() {
		if !contains(to, s.Disk) {
			to = append(to, s)
		}
	}
	for _, s := range to {
		p.sends = append(p.sends, Send{Disk: s.Disk, Msg: Accept{Rid: p.rid, Disk: s.Disk, Ballot: p.ballot, Value: v}})
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
	p.top = max(p.top, r.Promised.N)
	if p.cur == nil || p.phase != accepting || r.Rid != p.rid {
		return
	}
	if !r.OK {
		if contains(p.voters.All(), r.Disk) {
			p.retry(now)
		}
		return
	}
	p.yes[r.Disk] = true
	if !Quorum(p.voters, func(d string) bool { return p.yes[d] }) {
		return
	}
	p.voters = p.proposed
	p.end(now, p.proposed, p.verdict())
}

func (p *Proposer) verdict() error {
	if p.cur.change == nil {
		return nil
	}
	_, err := p.cur.change(p.proposed.Clone(), &p.cur.fence)
	return err
}

func (p *Proposer) settle(now time.Duration) {
	if p.phase == preparing && p.cur.first == nil && p.hasQuorum() {
		p.read(now)
		return
	}
	p.retry(now)
}
