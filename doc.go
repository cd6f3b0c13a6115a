// Package mallowbridge lets a program embed a router for replicas of a language model. Embed connects a Router to the daemon of its
// node: it gets the same configurations, replicas and fleet as the daemon, and its share of shared bounds. The program sends the requests
// itself, as the Router decides, and tells it what happened.
//
// A Router is safe for concurrent use. It ends with its tomb.
package mallowbridge
