// Package daemon runs one node as a process.
//
// Start reads the node's disk, listens for other nodes and starts the goroutines of a Daemon. One goroutine owns the control state
// (control.Node), one the router (router.Loop) and one the disk (control.Journal); they exchange messages over channels. Further goroutines
// keep a connection to each replica, to notice when its process ends, and serve the followers: programs that embed a router and receive this
// node's events.
//
// A PauseGuard rejects operator requests that arrived before a pause of the process.
package daemon
