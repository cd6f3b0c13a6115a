package control

import "github.com/mallowbridge/mallowbridge/register"

// PutChange returns the change of the register that a Put requests.
func PutChange(op Put) register.Change { return putChange(op) }

// EditChange returns the change of the register that an Edit requests.
func EditChange(op Edit) register.Change { return editChange(op) }

// BeginVoterChange returns a change that installs the next voters in addition to the current ones, if the voter set still has the epoch for
// which they were chosen.
func BeginVoterChange(epoch uint64, voters []register.Voter) register.Change {
	return beginVoterChangeAt(epoch, voters)
}

// FinishVoterChange returns a change that removes the old voters of that epoch, so that the next voters take over.
func FinishVoterChange(epoch uint64) register.Change { return finishVoterChangeAt(epoch) }

// EvacuateChange returns the change of the register that an Evacuate requests. The proposer keeps the change's scope guard with the
// operation.
func EvacuateChange(op Evacuate) register.GuardedChange { return evacuateChange(op) }
