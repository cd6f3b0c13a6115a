// Package ledger checks the ledgers that stand-in replicas and test clients write: which requests replicas ran, and what clients received.
//
// Check compares runs (RunEvent) with what clients received (SendResult), CheckStreams checks event streams (StreamResponse), CheckSoak
// checks a whole soak test (SoakRecord), and CheckQuotas checks the use of tenants' quotas. Each returns the guarantees that were broken as
// a list of Breach.
package ledger
