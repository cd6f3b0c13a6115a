// Package standin contains stand-ins for the systems around a fleet: a model replica and a client, both of which speak the product's own
// HTTP interface.
//
// NewReplica and Replica.Serve run a replica over HTTP; its timing comes from the simulated engine of package sim/replica, and POST /faults
// makes it misbehave. NewClient and Client.Run send a generated load to the nodes. Both write ledgers, whose rows are ledger.RunEvent and
// ledger.SendResult, so that package ledger can check afterwards what ran against what clients received.
package standin
