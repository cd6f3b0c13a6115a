// Package lease implements leases on singleton roles: tasks that only one node at a time may perform. A Holder acquires and renews a lease
// from a majority of the register's voters; each voter has a Grantor, which grants it. Every lease carries a fencing Token. Tokens only
// increase, so that work published by a former holder is recognised as stale. A holder measures its lease from when it sent the request and
// stops before the grantors' grants expire, which leaves a margin for clock drift.
package lease
