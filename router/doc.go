// Package router decides which replica serves each request and which requests are rejected. A Router is a state machine: it takes typed
// events (arrivals, responses, changes of replicas, configurations) and returns decisions. A Router is not safe for concurrent use; a Loop is,
// and owns one Router in a goroutine. RequestFlow is the state machine of one request of the product's own interface (/v1/). The data paths
// (packages proxy and httpapi), the daemon and the simulator drive these state machines. Programs that embed a router use the module's root
// package.
package router
