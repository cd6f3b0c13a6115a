// Package control is the control state machine of one node. It owns the node's proposer, acceptor, leases, member table and gossip
// store, and turns messages, ticks and operators' commands into messages to send, entries to write, answers and router events. It does no
// I/O; package daemon runs it on real machines and package sim in virtual time.
package control
