// Package mallowbridge lets a program embed a router for replicas of a language model. Embed connects a Router to the daemon of its node,
// from which the Router gets the same configuration, replicas and fleet members as the daemon, and its share of the limits that routers
// share. The program submits each request as an Arrival, sends it to replicas as the Router's Decisions say, and reports the Events of
// its attempts.
//
// A Router is safe for concurrent use. It stops when its tomb dies.
package mallowbridge
