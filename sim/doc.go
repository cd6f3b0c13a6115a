// Package sim runs whole fleets in one process and in virtual time: simulated network, disks, clocks, replicas, clients and operators,
// scenarios that inject failures, and checkers of the rules. All randomness comes from a seed, so that a run repeats exactly.
package sim
