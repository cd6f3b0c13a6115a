package register

import (
	"bytes"
	"reflect"
	"testing"
	"time"
)

// A new field of one of these types must be added to Clone and AppendFingerprint, and then counted here.
func TestFingerprintsCoverEveryField(t *testing.T) {
	for kind, fields := range map[reflect.Type]int{
		reflect.TypeFor[Proposer]():    22,
		reflect.TypeFor[operation]():   10,
		reflect.TypeFor[ScopeGuard]():  3,
		reflect.TypeFor[OrderStamp]():  3,
		reflect.TypeFor[Value]():       13,
		reflect.TypeFor[LegacyOrder](): 2,
		reflect.TypeFor[Voter]():       2,
		reflect.TypeFor[State]():       4,
		reflect.TypeFor[Prepare]():     4,
		reflect.TypeFor[Promise]():     6,
		reflect.TypeFor[Accept]():      4,
		reflect.TypeFor[Accepted]():    4,
	} {
		if kind.NumField() != fields {
			t.Errorf("%s has %d fields, clone.go was written for %d", kind, kind.NumField(), fields)
		}
	}
}

func TestCloneIsIndependent(t *testing.T) {
	first := &Value{Fleet: "f", Voters: []Voter{{Disk: "a"}, {Disk: "b"}, {Disk: "c"}}}
	p := NewProposer("p", 1)
	p.LearnVoters(first)
	p.Submit(0, time.Hour, 1, nil)
	sends, _ := p.TakeOutput()
	before := p.AppendFingerprint(nil)
	c := p.Clone()
	if !bytes.Equal(before, c.AppendFingerprint(nil)) {
		t.Fatal("a clone has another fingerprint")
	}
	c.OnPromise(0, Promise{RequestID: sends[0].Msg.(Prepare).RequestID, Disk: "a", OK: true, Value: first})
	c.FireDeadline()
	if !bytes.Equal(before, p.AppendFingerprint(nil)) {
		t.Error("a clone changed the original")
	}
	if _, results := c.TakeOutput(); len(results) != 1 || c.Busy() {
		t.Error("the deadline did not end the operation")
	}
}
