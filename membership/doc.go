// Package membership keeps the table of a fleet's members and detects failures: every member is pinged by a few watchers that
// rendezvous hashing names, directly and through helpers, is suspected when it does not answer, and declared dead after a delay in which
// it can refute the suspicion with a higher incarnation.
package membership
