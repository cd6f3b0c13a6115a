// Package modelcheck explores every order of events of a small world made of the control side's own state machines: proposers and
// acceptors of the register, holders and grantors of leases. It goes breadth first, so the first broken invariant that it finds has
// the shortest trace. A world is bounded by how often each kind of fault may come; an exploration also by states and depth.
package modelcheck
