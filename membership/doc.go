// Package membership keeps the table of a fleet's members and detects failures. A few watchers, chosen by rendezvous hashing, ping each
// member directly and, if it does not answer, through helpers. A member that answers neither becomes suspect. It is declared dead after a
// delay, during which it can refute the suspicion with a higher incarnation.
//
// A Detector runs this protocol for one node and owns its Table of Members. It does no I/O: its owner passes in messages and the time, sends
// the messages that are returned, and spreads TakeChanges by gossip.
package membership
