package control

import "github.com/mallowbridge/mallowbridge/register"

// PutChange is the change of the register that a Put asks for.
func PutChange(op Put) register.Change { return putChange(op) }

// EditChange is the change of the register that an Edit asks for.
func EditChange(op Edit) register.Change { return editChange(op) }

// BeginVoterChange proposes the next voters, if the voters' epoch is still the one they were chosen in.
func BeginVoterChange(epoch uint64, voters []register.Voter) register.Change {
	return beginVoterChangeAt(epoch, voters)
}

// FinishVoterChange lets the old voters of that epoch go.
func FinishVoterChange(epoch uint64) register.Change { return finishVoterChangeAt(epoch) }

// EvacuateChange is the change of the register that an Evacuate asks for. Its fence is the operation's.
func EvacuateChange(op Evacuate) register.GuardedChange { return evacuateChange(op) }
