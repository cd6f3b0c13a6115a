package control

import (
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/lease"
)

// TestListLeaseIsTakenWhileFirstReaderReachesNoVoters checks that the list is read once a second although the node that ranks first cannot
// get the lease.
func TestListLeaseIsTakenWhileFirstReaderReachesNoVoters(t *testing.T) {
	for _, cut := range lastingCuts {
		l := newLab(t, 9)
		l.run(4 * time.Second)
		first := l.nodes["n5"].turnOrder(listRole.work)[0]
		cut.apply(l, first)
		l.run(6 * time.Second)
		clear(l.lists)
		l.run(10 * time.Second)
		if holder := l.holder(listRole.work.name); holder == "" || holder == first || l.lists[holder] < 9 {
			t.Errorf("%s: %s is cut off, %q has the lease, reads in 10 s: %v", cut.name, first, holder, l.lists)
		}
	}
}

// holder returns the node that has the lease on a role, or an empty string.
func (l *lab) holder(role string) string {
	for _, name := range l.order {
		if _, holds := l.nodes[name].leases.Holds(l.now, role); holds {
			return name
		}
	}
	return ""
}

// TestListIsReadWhileFirstReadersCannot checks that the list is read by the next node if the platform does not answer some nodes.
func TestListIsReadWhileFirstReadersCannot(t *testing.T) {
	l := newLab(t, 9)
	l.list = nil
	l.run(4 * time.Second)
	order := l.nodes["n5"].turnOrder(listRole.work)
	l.listFailsAt = order[:3]
	l.run(2 * time.Second)
	before := l.nodes["n5"].replicaList.confirmed.doneAt
	for range 100 {
		l.run(100 * time.Millisecond)
		if age := l.now - l.nodes["n5"].replicaList.confirmed.doneAt; age > confirmationTimeout+5*listTurn {
			t.Fatalf("no confirmation for %s", age)
		}
	}
	if l.nodes["n5"].replicaList.confirmed.doneAt == before {
		t.Error("the list was not confirmed again")
	}
}

// TestZoneIsCheckedWhileFirstNodeReachesNoVoters checks that another node gets the lease of a zone's checks if the first one cannot, and that
// the zone's reports go on meanwhile.
func TestZoneIsCheckedWhileFirstNodeReachesNoVoters(t *testing.T) {
	for _, cut := range lastingCuts {
		l := newCheckedLab(t)
		l.run(9 * time.Second)
		role := checksRole("1")
		first := l.nodes["n8"].turnOrder(role.work)[0]
		cut.apply(l, first)
		longest := time.Duration(0)
		for range 300 {
			l.run(100 * time.Millisecond)
			longest = max(longest, l.now-l.nodes["n8"].health.zone("1").reported.doneAt)
		}
		if holder := l.holder(role.work.name); holder == "" || holder == first {
			t.Errorf("%s: %s is cut off from the voters, %q has the lease", cut.name, first, holder)
		}
		if longest > probeWithoutLeaseAfter+3*publishInterval {
			t.Errorf("%s: no reports for %s", cut.name, longest)
		}
	}
}

// readerWithReplicaInZone returns a reader of operators' documents that finds one replica, in a zone.
func readerWithReplicaInZone(zone string) config.Reader {
	return func([]byte) (config.Config, error) {
		replica := config.Replica{Name: "r1", Addr: "r1", Zone: zone, Role: "both", Capacity: 1}
		return config.Config{Services: []config.Service{{Name: "o", Replicas: []config.Replica{replica}}}}, nil
	}
}

// newLabWithReader returns a lab of nine nodes, just started, with a reader of the operators' documents.
func newLabWithReader(t *testing.T, reader config.Reader) *lab {
	l := newLab(t, 9)
	l.reader = reader
	for _, name := range l.order {
		l.boot(name, true)
	}
	return l
}

// newCheckedLab returns a lab whose operators' document has a replica in zone 1 that answers each probe.
func newCheckedLab(t *testing.T) *lab {
	l := newLabWithReader(t, readerWithReplicaInZone("1"))
	l.run(4 * time.Second)
	if a := l.write("n8", "first"); a.Err != nil {
		t.Fatal(a.Err)
	}
	return l
}

// TestRolesAreTakenWhileFirstNodeIsCutOffFromTheStart checks that another node gets the leases of the list and of a zone's checks if the node
// that ranks first has never reached the voters. It does so after the role's wait and the turn of the first.
func TestRolesAreTakenWhileFirstNodeIsCutOffFromTheStart(t *testing.T) {
	for _, role := range []leasedRole{listRole, checksRole("1")} {
		for _, cut := range lastingCuts {
			t.Run(role.work.name+"/"+cut.name, func(t *testing.T) {
				t.Parallel()
				cutFirstOffFromTheStart(t, role, cut)
			})
		}
	}
}

func cutFirstOffFromTheStart(t *testing.T, role leasedRole, cut partialCut) {
	l := newLabWithReader(t, readerWithReplicaInZone("1"))
	l.run(time.Second)
	first := l.nodes["n8"].turnOrder(role.work)[0]
	cut.apply(l, first)
	l.run(time.Second)
	writer := "n8"
	if writer == first {
		writer = "n7"
	}
	if a := l.write(writer, "first"); a.Err != nil {
		t.Fatal(a.Err)
	}
	l.run(role.leaseAfter + lease.TTL + time.Second)
	if holder := l.holder(role.work.name); holder == "" || holder == first {
		t.Errorf("%s is cut off from the voters, %q has the lease", first, holder)
	}
}
