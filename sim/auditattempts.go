package sim

import (
	"fmt"
	"time"
)

// dueVersion returns the version that a node must have applied by now, or a later one.
func (a *Audit) dueVersion(n *Node) uint64 {
	for i := len(a.versions) - 1; i >= 0; i-- {
		f := a.versions[i]
		if a.w.Now-f.at > applyWithin && a.w.Now-a.mustKnowAt(n, f) > applyWithin {
			return f.version
		}
	}
	return 0
}

// attemptSent checks an attempt that a node sends to a replica: the node's version, the replica's state, and the number of retries.
func (a *Audit) attemptSent(f *fleetRequest, c *fleetConn) {
	now, n := a.w.Now, f.n
	version, due := n.router.Version(), a.dueVersion(n)
	if version < due {
		a.breach(StaleSnapshot, n.Name, fmt.Sprintf("node has version %d, must have %d", version, due))
	}
	for i := len(a.versions) - 1; i >= 0 && a.versions[i].version > version; i-- {
		if a.versions[i].version > due && now-a.versions[i].at > applyWithin {
			a.ExcusedAttempts++
			break
		}
	}
	if version < a.newestApplied[n.Name] {
		a.breach(SnapshotWentBack, n.Name, fmt.Sprintf("version %d after %d", version, a.newestApplied[n.Name]))
	}
	a.newestApplied[n.Name] = max(a.newestApplied[n.Name], version)
	if drained, ok := a.drainedAt[c.replica.Name]; ok && a.overdue(n, drained, drainWithin) {
		a.breach(ToDraining, c.replica.Name, n.Name)
	}
	a.checkContents(f, c, due)
	if f.attempts == 1 {
		a.firstAttempts = append(a.firstAttempts, now)
		return
	}
	a.w.Report.Retries++
	a.retries = append(a.retries, now)
	countRecent := func(ts []time.Duration) int {
		var k int
		for i := len(ts) - 1; i >= 0 && now-ts[i] < fleetRetryWindow; i-- {
			k++
		}
		return k
	}
	if retries, firsts := countRecent(a.retries), countRecent(a.firstAttempts); float64(retries) > retryRatio*float64(firsts)+fleetRetryExtra {
		a.breach(TooManyRetries, n.Name, fmt.Sprintf("%d retries for %d first attempts", retries, firsts))
	}
}

// attemptStarted checks that a replica in warm-up does not run more requests than its limit.
func (a *Audit) attemptStarted(r *FleetReplica) {
	if r.model.WarmupOverloads > 0 {
		a.breach(WarmupOverloaded, r.Name, fmt.Sprintf("%d running, limit %d, started %s ago", len(r.model.Running), r.model.RunningLimit(a.w.Now), a.w.Now-r.model.StartedAt))
		a.w.Report.WarmupOverloads += r.model.WarmupOverloads
		r.model.WarmupOverloads = 0
	}
}

// checkLeases checks every 100 ms that no singleton role has two lease holders.
func (a *Audit) checkLeases() {
	holders := map[string]string{}
	for _, n := range a.w.Nodes {
		if !n.Alive || n.frozen {
			continue
		}
		for _, role := range n.node.HeldRoles(n.localTime()) {
			if holders[role] != "" {
				a.breach(TwoLeaseHolders, role, holders[role]+" and "+n.Name)
			}
			holders[role] = n.Name
		}
	}
	a.w.After(100*time.Millisecond, a.checkLeases)
}

func (a *Audit) snapshotApplied(n *Node) {
	a.appliedVersions[n.Name] = append(a.appliedVersions[n.Name], versionAt{at: a.w.Now, version: n.router.Version()})
}

// ApplyTimes returns for each accepted version how many milliseconds the slowest node took to apply it or a later one.
func (a *Audit) ApplyTimes() []int64 {
	var ms []int64
	for _, accepted := range a.versions {
		var slowest int64
		for _, n := range a.w.Nodes {
			elapsed := (a.w.Now - accepted.at).Milliseconds()
			for _, applied := range a.appliedVersions[n.Name] {
				if applied.version >= accepted.version {
					elapsed = max((applied.at - accepted.at).Milliseconds(), 0)
					break
				}
			}
			slowest = max(slowest, elapsed)
		}
		ms = append(ms, slowest)
	}
	return ms
}
