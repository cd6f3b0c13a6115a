package register

import "fmt"

// ConflictError means that a change is based on another revision (or version) than the current one, which is Version. The change was not
// applied and never will be.
type ConflictError struct{ Version uint64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: the current version is %d", e.Version)
}

// NoQuorumError means that no majority of the voters replied in time and that the change was not proposed to any voter.
type NoQuorumError struct{}

func (*NoQuorumError) Error() string {
	return "no majority of voters was reached and nothing was changed"
}

// OutcomeUnknownError means that the change was proposed to voters and that it is not known whether a majority accepted it.
type OutcomeUnknownError struct{}

func (*OutcomeUnknownError) Error() string {
	return "the change may or may not have been accepted"
}

// NotBootstrappedError means that the proposer does not know of a bootstrapped register.
type NotBootstrappedError struct{}

func (*NotBootstrappedError) Error() string { return "the register has not been bootstrapped" }
