package register

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"testing"
)

func refused(err error) string {
	var conflict *ConflictError
	var forgotten *BaseTooOldError
	switch {
	case errors.As(err, &conflict):
		return "412"
	case errors.As(err, &forgotten):
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
		what string
		base uint64
		id   string
		took bool
		say  string
	}{
		{"the newest", current - 3, fmt.Sprint(MaxLoggedOrders + 9), true, ""},
		{"the oldest that is kept", 30, "10", true, ""},
		{"another on the oldest base", 30, "x", false, "412"},
		{"a revision that never was", 31, "10", false, "412"},
		{"one that is forgotten", 27, "9", false, "503"},
		{"another on a forgotten base", 0, "x", false, "503"},
		{"ahead of the current one", current + 1, "x", false, "412"},
	} {
		if elapsed := v.AppliedEdit(c.base, c.id); elapsed != c.took {
			t.Errorf("%s: taken %v", c.what, elapsed)
		}
		if say := refused(v.EditRejection(c.base, current)); !c.took && say != c.say {
			t.Errorf("%s: %s, not %s", c.what, say, c.say)
		}
	}
	if len(v.EditLog) > MaxLoggedOrders*(fingerprintBytes+2) {
		t.Errorf("%d bytes for %d orders", len(v.EditLog), MaxLoggedOrders)
	}
}

func TestOrderLogDecidesPutsByVersion(t *testing.T) {
	v := &Value{Version: 5}
	if say := refused(v.PutRejection(4)); say != "503" {
		t.Errorf("nothing is remembered, and %s is said", say)
	}
	v.LogScoped("z", "same", false)
	v.Version++
	v.LogPut("a")
	v.Version++
	v.LogScoped("z", "b", true)
	for expect, want := range map[uint64]string{4: "503", 5: "412", 6: "412", 8: "412"} {
		if say := refused(v.PutRejection(expect)); say != want {
			t.Errorf("on %d: %s, not %s", expect, say, want)
		}
	}
	if version, ok := v.AppliedAt("a"); !ok || version != 6 {
		t.Errorf("%d %v", version, ok)
	}
}

func TestLatestOrderOfAZone(t *testing.T) {
	v := &Value{}
	none := v.LatestOrder("z")
	v.LogScoped("y", "1", true)
	if v.LatestOrder("z") != none {
		t.Error("an order on another zone counts")
	}
	v.LogScoped("z", "2", false)
	second := v.LatestOrder("z")
	v.LogScoped("z", "3", false)
	if second == none || v.LatestOrder("z") == second {
		t.Error("two orders are not told apart")
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

// valueBefore is a value as the builds before the packed lists wrote it.
type valueBefore struct {
	Fleet   string
	Mark    uint64
	Seat    uint64
	Body    []byte
	Emptied []string
	Voters  []Voter
	Next    []Voter
	Ops     []encodedLegacyOrder
}

func carry(t *testing.T, from, to any) {
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
	carry(t, valueBefore{Mark: 9, Body: []byte("x"), Ops: []encodedLegacyOrder{{ID: "PUT/a", Mark: 8}, {ID: "PUT/b", Mark: 9}}}, &read)
	v := read.Decode()
	if !v.AppliedEdit(7, "PUT/b") || v.AppliedEdit(7, "PUT/c") {
		t.Error("the ids of an older build are not known")
	}
	if say := refused(v.EditRejection(6, 8)); say != "503" {
		t.Errorf("an order before the memory began: %s", say)
	}
	v.LogEdit(8, "PUT/d")
	if say := refused(v.EditRejection(8, 9)); say != "412" || !v.AppliedEdit(8, "PUT/d") || len(v.LegacyOrders) != 1 {
		t.Errorf("%s, %v", say, v.LegacyOrders)
	}
	var old valueBefore
	carry(t, EncodeValue(v), &old)
	var back EncodedValue
	carry(t, old, &back)
	if say := refused(back.Decode().EditRejection(8, 9)); say != "503" {
		t.Errorf("an older build dropped the list, and %s is said", say)
	}
}
