package register

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"testing"
)

// rejectionStatus returns the HTTP status that belongs to a rejection.
func rejectionStatus(err error) string {
	var conflict *ConflictError
	var baseTooOld *BaseTooOldError
	switch {
	case errors.As(err, &conflict):
		return "412"
	case errors.As(err, &baseTooOld):
		return "503"
	}
	return fmt.Sprint(err)
}

func TestEditLogDecidesByRevision(t *testing.T) {
	v := &Value{}
	for i := range uint64(MaxLoggedOrders + 10) {
		v.LogEdit(3*i, fmt.Sprint(i))
	}
	current := uint64(3 * (MaxLoggedOrders + 10))
	for _, c := range []struct {
		description string
		base        uint64
		id          string
		applied     bool
		status      string
	}{
		{"the newest", current - 3, fmt.Sprint(MaxLoggedOrders + 9), true, ""},
		{"the oldest that is logged", 30, "10", true, ""},
		{"another on the oldest base", 30, "x", false, "412"},
		{"a revision that never existed", 31, "10", false, "412"},
		{"one that the log has dropped", 27, "9", false, "503"},
		{"another on a base that the log has dropped", 0, "x", false, "503"},
		{"a base after the current revision", current + 1, "x", false, "412"},
	} {
		if applied := v.AppliedEdit(c.base, c.id); applied != c.applied {
			t.Errorf("%s: applied is %v", c.description, applied)
		}
		if status := rejectionStatus(v.EditRejection(c.base, current)); !c.applied && status != c.status {
			t.Errorf("%s: %s, not %s", c.description, status, c.status)
		}
	}
	if len(v.EditLog) > MaxLoggedOrders*(orderHashBytes+2) {
		t.Errorf("%d bytes for %d orders", len(v.EditLog), MaxLoggedOrders)
	}
}

func TestOrderLogDecidesPutsByVersion(t *testing.T) {
	v := &Value{Version: 5}
	if status := rejectionStatus(v.PutRejection(4)); status != "503" {
		t.Errorf("empty log: status %s", status)
	}
	v.LogScoped("z", "same", false)
	v.Version++
	v.LogPut("a")
	v.Version++
	v.LogScoped("z", "b", true)
	for expect, want := range map[uint64]string{4: "503", 5: "412", 6: "412", 8: "412"} {
		if status := rejectionStatus(v.PutRejection(expect)); status != want {
			t.Errorf("on %d: %s, not %s", expect, status, want)
		}
	}
	if version, ok := v.AppliedAt("a"); !ok || version != 6 {
		t.Errorf("order a: applied at version %d, found: %v", version, ok)
	}
}

func TestLatestOrderOfAZone(t *testing.T) {
	v := &Value{}
	none := v.LatestOrder("z")
	v.LogScoped("y", "1", true)
	if v.LatestOrder("z") != none {
		t.Error("an order on another zone changed the latest order")
	}
	v.LogScoped("z", "2", false)
	second := v.LatestOrder("z")
	v.LogScoped("z", "3", false)
	if second == none || v.LatestOrder("z") == second {
		t.Error("two orders have the same stamp")
	}
}

func TestCloneSharesNothingThatIsWritten(t *testing.T) {
	v := &Value{}
	for i := range 5 {
		v.LogEdit(uint64(i), "v")
	}
	a, b := v.Clone(), v.Clone()
	a.LogEdit(5, "a")
	b.LogEdit(5, "b")
	a.LogUnscoped("a")
	b.LogUnscoped("b")
	if !a.AppliedEdit(5, "a") || !b.AppliedEdit(5, "b") || a.AppliedEdit(5, "b") {
		t.Error("clones write over each other")
	}
	if _, ok := a.AppliedAt("b"); ok {
		t.Error("clones write over each other")
	}
}

// legacyEncodedValue is the encoded value of builds from before EditLog and OrderLog.
type legacyEncodedValue struct {
	Fleet   string
	Mark    uint64
	Seat    uint64
	Body    []byte
	Emptied []string
	Voters  []Voter
	Next    []Voter
	Ops     []encodedLegacyOrder
}

// gobRoundTrip encodes a value with gob and decodes it as another type.
func gobRoundTrip(t *testing.T, from, to any) {
	t.Helper()
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(from); err != nil {
		t.Fatal(err)
	}
	if err := gob.NewDecoder(&buf).Decode(to); err != nil {
		t.Fatal(err)
	}
}

func TestValuesOfOlderBuildsAreRead(t *testing.T) {
	var read EncodedValue
	gobRoundTrip(t, legacyEncodedValue{Mark: 9, Body: []byte("x"), Ops: []encodedLegacyOrder{{ID: "PUT/a", Mark: 8}, {ID: "PUT/b", Mark: 9}}}, &read)
	v := read.Decode()
	if !v.AppliedEdit(7, "PUT/b") || v.AppliedEdit(7, "PUT/c") {
		t.Error("the ids that an older build logged are not found")
	}
	if status := rejectionStatus(v.EditRejection(6, 8)); status != "503" {
		t.Errorf("an order from before the log began: status %s", status)
	}
	v.LogEdit(8, "PUT/d")
	if status := rejectionStatus(v.EditRejection(8, 9)); status != "412" || !v.AppliedEdit(8, "PUT/d") || len(v.LegacyOrders) != 1 {
		t.Errorf("status %s, legacy orders %v", status, v.LegacyOrders)
	}
	var old legacyEncodedValue
	gobRoundTrip(t, EncodeValue(v), &old)
	var back EncodedValue
	gobRoundTrip(t, old, &back)
	if status := rejectionStatus(back.Decode().EditRejection(8, 9)); status != "503" {
		t.Errorf("after an older build dropped the log: status %s", status)
	}
}
