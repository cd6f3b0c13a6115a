// Package rehearsal runs nodes of the platform as real processes with real sockets, injects faults into everything around them, and checks what
// clients received and what replicas ran against rules.
//
// The faults are replicas that cut their responses at any byte or crash, releases with new model weights, nodes that are killed, stopped, frozen or
// reloaded, and clients that read slowly, disconnect early or speak HTTP/1.0.
//
// There are three kinds of rehearsal: RunStreams checks streamed responses, RunQuotas checks tenants' quotas, and RunSoak checks long connections
// through overlapping faults, route changes and evacuations. Each starts a Platform, which lists stand-in Replicas, and a Fleet of node processes, and
// sends load from clients. The rows that it records in a ledger are checked by package ledger.
package rehearsal
