// Package register implements the replicated register that holds the configuration: single-value Paxos, with a prepare and an accept round under
// ballots, run again for each new value. The voters are machines that have a disk.
//
// A Proposer reads the Value or changes it by compare-and-set: operations are submitted with a deadline, and each ends with a Result. An
// Acceptor votes for one disk. The set of voters is part of the value. It changes in two steps: while Value.NextVoters is set, majorities of both the
// old and the new voters are needed. EditLog and OrderLog record the applied operator requests ("orders"), so that a request that is sent
// again is recognized.
//
// All types are state machines without I/O: their methods take the time and a message, and return what to send and whether to write to disk.
// Package control drives them.
package register
