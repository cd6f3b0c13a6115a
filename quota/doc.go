// Package quota keeps the requests of tenants within limits that all routers of a fleet share. Each limit is divided
// evenly among the fleet's zones. In each zone one node owns the zone's share of a tenant's limit, as a token bucket.
// Before it sends an attempt, a router asks an owner to grant the request's cost, the owner in its own zone first.
// Nothing is sent without a grant. So late or lost messages, restarts, stalls and partitions between zones leave part of
// a limit unused, but never raise it.
//
// Owner keeps the buckets of the shares that a node owns, and Requester asks owners on behalf of a router. Both are
// state machines without I/O or clock: the caller delivers each GrantRequest to its owner, and the GrantResponse back.
// docs/notes/quotas.md compares this design with its alternatives.
package quota
