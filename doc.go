// Package mallowbridge is a router for replicas of a language model that a program can embed. A Router takes typed events (arrivals,
// answers, changes of replicas, configurations) and returns decisions: which replica serves which request, and which requests are
// rejected. A RouterLoop is the goroutine that owns a Router; Follow and Embed connect it to the node's daemon.
package mallowbridge
