// Package register implements the replicated configuration register: single-decree agreement in two rounds (prepare and accept with
// ballots) over the machines that have a disk, repeated in place. A Proposer reads or changes the value by compare-and-set; an Acceptor
// votes; the set of voters is part of the value and changes through a joint set of old and new voters. All types are pure state
// machines: they take the time and one message and return what to send and what to write. Package control drives them.
package register
