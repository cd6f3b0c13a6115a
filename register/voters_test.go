package register

import (
	"fmt"
	"testing"

	"github.com/anishathalye/porcupine"
)

var model = porcupine.Model{
	Init: func() any { return state{} },
	Step: func(s, in, out any) (bool, any) {
		st, o, r := s.(state), in.(op), out.(result)
		moved := state{mark: st.mark + 1, body: o.body}
		switch {
		case !o.put:
			return r.unknown || (r.mark == st.mark && r.body == st.body), st
		case r.unknown && st.mark == o.expect:
			return true, moved
		case r.unknown:
			return true, st
		case r.conflict:
			return st.mark != o.expect && r.mark == st.mark, st
		}
		return st.mark == o.expect && r.mark == moved.mark, moved
	},
	Equal: func(a, b any) bool { return a == b },
}

func TestCheckerDetectsLostWrite(t *testing.T) {
	ops := []porcupine.Operation{
		{ClientId: 1, Input: op{put: true, body: "x"}, Call: 0, Output: result{mark: 1}, Return: 1},
		{ClientId: 2, Input: op{}, Call: 2, Output: result{}, Return: 3},
	}
	if porcupine.CheckOperations(model, ops) {
		t.Error("a lost write passed")
	}
}

func TestRepeatedPutWithTheSameIDIsSafe(t *testing.T) {
	v := &Value{Version: 4}
	v.LogUnscoped("a")
	if _, ok := v.AppliedAt("a"); !ok {
		t.Error("a taken change is forgotten")
	}
	for i := range 2 * MaxLoggedOrders {
		v.LogUnscoped(fmt.Sprint(i))
		v.LogEdit(uint64(i), fmt.Sprint(i))
	}
	if v.OrderLog.Len() != MaxLoggedOrders || v.EditLog.Len() != MaxLoggedOrders {
		t.Errorf("%d orders and %d edits are kept", v.OrderLog.Len(), v.EditLog.Len())
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
