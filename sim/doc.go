// Package sim runs whole fleets in one process and in virtual time: real node state machines with a simulated network, disks, clocks, replicas,
// clients and operators, scenarios that inject faults, and checks of the rules that a fleet must keep. All randomness comes from a seed, so that
// a run can be repeated exactly.
//
// Run plays a Scenario and returns its World, whose Audit lists the breaches of rules and whose Report (or Site, for a platform) has the
// figures. There are two kinds of scenario. A FleetScenario plays a fleet with configured replicas that speak the product's own interface
// (package replica); the names of its parts begin with Fleet. A SiteScenario plays the users' platform, a SiteSpec, where replicas are listed by the
// platform, clients use plain HTTP and responses pass through package proxy. A core machine is a machine with a disk, which can vote on
// the register; the number of core machines that may be lost at once is bounded.
package sim
