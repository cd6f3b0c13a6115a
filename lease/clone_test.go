package lease

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/mallowbridge/mallowbridge/register"
)

// TestFingerprintsCoverEveryField fails when a field is added to one of these types: it must be added to Clone and AppendFingerprint as well.
func TestFingerprintsCoverEveryField(t *testing.T) {
	for kind, fields := range map[reflect.Type]int{
		reflect.TypeFor[Holder]():   5,
		reflect.TypeFor[Lease]():    8,
		reflect.TypeFor[Grantor]():  4,
		reflect.TypeFor[grantRow](): 2,
		reflect.TypeFor[Record]():   2,
		reflect.TypeFor[Token]():    2,
	} {
		if kind.NumField() != fields {
			t.Errorf("%s has %d fields, clone.go covers %d", kind, kind.NumField(), fields)
		}
	}
}

func TestClonesAreIndependent(t *testing.T) {
	voters := &register.Value{Voters: []register.Voter{{Disk: "a"}}}
	g, h := NewGrantor("a", nil, 0), NewHolder("h", 1)
	request := h.Acquire(0, "d", voters)[0].Msg.(Request)
	before := h.AppendFingerprint(g.AppendFingerprint(nil, 0), 0)
	g2, h2 := g.Clone(), h.Clone()
	if !bytes.Equal(before, h2.AppendFingerprint(g2.AppendFingerprint(nil, 0), 0)) {
		t.Fatal("clones differ")
	}
	grant, _ := g2.HandleRequest(0, request)
	h2.OnGrant(0, grant, voters)
	if _, ok := h2.Holds(0, "d"); !ok {
		t.Error("the clone did not get the lease")
	}
	if !bytes.Equal(before, h.AppendFingerprint(g.AppendFingerprint(nil, 0), 0)) {
		t.Error("using the clones changed the originals")
	}
}
