package modelcheck

import (
	"slices"

	"github.com/mallowbridge/mallowbridge/register"
)

// Apply returns the state after an event.
func (s *RegisterState) Apply(e Event) *RegisterState {
	if e.Kind == eventRound {
		n := s.deliverPath(int(e.Target), e.Arg)
		n.fail(n.checkMajorityHasLatest())
		n.checkChosen()
		return n
	}
	n := s.clone()
	target := int(e.Target)
	switch e.Kind {
	case eventDeliver, eventDuplicate, eventLoseReply:
		n.deliver(e)
	case eventSyncDisk:
		n.sync(target)
	case eventSubmit:
		n.sendRequest(target, s.model.Requests[target].FirstProposer)
	case eventResend:
		n.budget.Resends--
		n.sendRequest(target, 1-s.model.Requests[target].FirstProposer)
	case eventTimer:
		n.budget.Timers--
		n.fireTimer(target)
	case eventDeadline:
		n.budget.Deadlines--
		n.cloneProposer(target).FireDeadline()
		n.drainOutput(target)
	case eventDisconnect:
		n.budget.Disconnects--
		n.disconnect(uint64(e.Target))
	case eventCrashDisk:
		n.budget.Crashes--
		n.crash(target)
	case eventRestart:
		n.budget.Restarts--
		n.restartProposer(target)
	case eventWipe:
		n.budget.Wipes--
		n.wipe(target)
		n.fail(n.checkMajorityLeft())
	case eventReplace:
		n.budget.Replacements--
		n.replaceVoter(target, int(e.Arg))
	case eventFinish:
		n.budget.Finishes--
		n.finishVoterChange(target)
	case eventLearn:
		n.budget.Learns--
		n.learnNewest(target)
	}
	n.fail(n.checkMajorityHasLatest())
	n.checkChosen()
	return n
}

// deliver delivers a message in flight: once, with a duplicate that stays in the network, or with its reply lost.
func (s *RegisterState) deliver(e Event) {
	m := s.inFlight[e.Arg]
	if e.Kind == eventDuplicate {
		s.budget.Duplicates--
	} else {
		s.inFlight = slices.Delete(s.inFlight, int(e.Arg), int(e.Arg)+1)
	}
	if !m.isRequest() {
		s.deliverReply(m)
		return
	}
	reply, sent := s.handleRequest(m, s.diskIndex(m.disk))
	if e.Kind == eventLoseReply {
		s.budget.LostReplies--
		sent = false
	}
	if sent {
		s.sendReply(reply)
	}
	s.inFlight = slices.DeleteFunc(s.inFlight, s.isObsolete)
}

// sendReply puts a reply into the network, or delivers it at once if the model does not queue replies.
func (s *RegisterState) sendReply(m envelope) {
	if s.model.QueuedReplies {
		s.inFlight = append(s.inFlight, m)
		return
	}
	s.deliverReply(m)
}

func (s *RegisterState) deliverReply(m envelope) {
	p := s.cloneProposer(m.proposer)
	switch r := m.msg.(type) {
	case register.Promise:
		s.model.Protocol.OnPromise(p, r)
	case register.Accepted:
		p.OnAccepted(0, r)
	}
	s.drainOutput(m.proposer)
}

// fireTimer fires the proposer's timer. If the proposer then backs off before its next ballot, the timer of the backoff fires in the same step,
// because nothing visible happens in between.
func (s *RegisterState) fireTimer(proposer int) {
	p := s.cloneProposer(proposer)
	p.FireTimer()
	if p.BackingOff() {
		p.FireTimer()
	}
	s.drainOutput(proposer)
}

// maxAttempts is the number of operation ids that are reserved for each operator request.
const maxAttempts = 4

// sendRequest submits the next attempt of an operator request to a proposer.
func (s *RegisterState) sendRequest(request, proposer int) {
	o := s.model.Requests[request]
	id := uint64(maxAttempts*request) + uint64(s.requests[request].sent)
	s.requests[request].sent++
	s.cloneProposer(proposer)
	if o.isEvacuation() {
		s.sendEvacuation(request, proposer, id)
		return
	}
	s.submit(operation{id: id, proposer: proposer, request: request}, s.model.change(o), o.Kind == FullRead)
	s.drainOutput(proposer)
}

// restartProposer crashes and restarts the proposer's node. Its pending operations end without a result for their clients, and the node knows
// only the bootstrap value.
func (s *RegisterState) restartProposer(proposer int) {
	s.boots[proposer]++
	s.abandonEvacuations(proposer)
	s.pending = slices.DeleteFunc(s.pending, func(o operation) bool { return o.proposer == proposer })
	s.known[proposer] = s.bootstrap
	s.proposers[proposer] = s.boot(proposer, s.bootstrap)
	s.inFlight = slices.DeleteFunc(s.inFlight, s.isObsolete)
}

// nextVoterChangeID returns the operation id of the first half of a new change of voters; the second half has the next id.
func (s *RegisterState) nextVoterChangeID() uint64 {
	s.voterChanges++
	return uint64(maxAttempts*len(s.requests)) + 2*s.voterChanges
}

// replaceVoter submits a change of voters that replaces the voter at a position by a spare disk.
func (s *RegisterState) replaceVoter(proposer, position int) {
	known := s.known[proposer]
	spare := s.disks[s.spareDisk(known)]
	voters := slices.Clone(known.Voters)
	voters[position] = register.Voter{Disk: spare.acceptor.Disk, Name: spare.name}
	s.cloneProposer(proposer)
	s.submit(operation{id: s.nextVoterChangeID(), proposer: proposer, request: -1, newVoters: voters}, s.model.Protocol.BeginVoterChange(known.Epoch, voters), false)
	s.drainOutput(proposer)
}

// finishVoterChange submits the second half of the change of voters that the proposer's node knows of.
func (s *RegisterState) finishVoterChange(proposer int) {
	s.cloneProposer(proposer)
	s.submit(operation{id: s.nextVoterChangeID(), proposer: proposer, request: -1}, s.model.Protocol.FinishVoterChange(s.known[proposer].Epoch), false)
	s.drainOutput(proposer)
}

// learnNewest makes the proposer's node learn the newest value that the other node knows, as it would by gossip.
func (s *RegisterState) learnNewest(proposer int) {
	s.known[proposer] = s.known[1-proposer]
	s.cloneProposer(proposer).LearnChosen(s.known[proposer])
}
