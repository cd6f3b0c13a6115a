package register

import (
	"fmt"
	"testing"
)

func TestLogsFindOrdersAndAreBounded(t *testing.T) {
	v := &Value{Version: 4}
	v.LogUnscoped("a")
	if _, ok := v.AppliedAt("a"); !ok {
		t.Error("an applied change is not found in the log")
	}
	for i := range 2 * MaxLoggedOrders {
		v.LogUnscoped(fmt.Sprint(i))
		v.LogEdit(uint64(i), fmt.Sprint(i))
	}
	if v.OrderLog.Len() != MaxLoggedOrders || v.EditLog.Len() != MaxLoggedOrders {
		t.Errorf("%d orders and %d edits are logged", v.OrderLog.Len(), v.EditLog.Len())
	}
}

func TestWipedVoterDoesNotVoteUnderItsOldID(t *testing.T) {
	a := &Acceptor{State{Disk: "new"}}
	if r, write := a.Prepare(Prepare{Disk: "old", Ballot: Ballot{N: 1}}); r.Disk != "" || write {
		t.Error("promised for another disk")
	}
	if r, write := a.Accept(Accept{Disk: "old", Ballot: Ballot{N: 1}, Value: &Value{}}); r.Disk != "" || write {
		t.Error("accepted for another disk")
	}
}
