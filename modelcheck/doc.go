// Package modelcheck is an explicit-state model checker for the protocols of the control plane: the single-value Paxos register with its
// changes of voters, and the leases. It runs the production state machines (register.Proposer, register.Acceptor, lease.Holder and
// lease.Grantor) in a small model and explores every order of events.
//
// A RegisterModel or LeaseModel describes the nodes, the requests and a budget of faults; NewRegisterState and NewLeaseState return its first
// state. Explore visits the reachable states breadth first, so the trace to the first broken invariant is a shortest one. A model is bounded
// by its budget of each kind of fault; Bounds can also limit the number of states and the depth of an exploration.
package modelcheck
