// Package control is the control state machine of one node. A Node owns the node's register proposer and acceptor, leases, member table and
// gossip store. Node.Step takes one Input (a received message, a tick, an operator's Command, the outcome of some I/O) and returns an
// Output: messages to send, log entries to write, answers to commands, and events for the node's router. A Journal keeps the state that
// must survive a restart on disk. A Node does no I/O; package daemon runs it on real machines and package sim in virtual time.
package control
