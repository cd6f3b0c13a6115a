// Package lease implements leases on tasks that one node at a time carries out. A Holder acquires and renews a lease at a majority of
// the register's voters; a Grantor on each voter grants it. Tokens only rise, so that what a former holder published is recognised as
// old. A holder counts its lease from the moment it asked and gives it up before the grantors do, which leaves room for clock drift.
package lease
