// Package daemon runs one node as a process. One goroutine owns the control state machine, one the router, one the disk; they exchange
// messages over channels. It also owns the connections that watch replicas and the followers that embed a router in other programs.
package daemon
