// Package router decides which replica serves which request, and which requests are rejected. A Router is a state machine: it takes
// typed events (arrivals, answers, changes of replicas, configurations) and returns decisions. A Loop is the goroutine that owns a
// Router, and is safe for concurrent use; a Router is not. RequestFlow is the state machine of one request of the product's own
// interface. The data paths (proxy, httpapi), the daemon and the simulator drive these; programs that embed a router use the module's
// root package.
package router
