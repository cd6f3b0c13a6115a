package register

import (
	"testing"
	"time"
)

// bootstrapValue is the value of a duel in which x's bootstrap was accepted everywhere and its answers were lost, and y has made a change since.
func bootstrapValue(t *testing.T) *duel {
	d := &duel{t: t, disks: map[string]*Acceptor{}, reach: map[string]bool{}, x: NewProposer("x", 1), y: NewProposer("y", 2)}
	var vs []Voter
	for _, disk := range []string{"a", "b", "c"} {
		d.disks[disk] = &Acceptor{State{Disk: disk}}
		vs = append(vs, Voter{Disk: disk})
	}
	d.only("a", "b", "c")
	first := &Value{Fleet: "f", Voters: vs}
	d.x.Bootstrap(0, time.Hour, 1, first)
	d.deaf = true
	d.run(d.x, 50*time.Millisecond)
	d.deaf = false
	d.y.LearnVoters(first)
	if err := d.until(d.y, take(0, "theirs")); err != nil {
		t.Fatal(err)
	}
	return d
}

func (d *duel) holds(text string) {
	d.t.Helper()
	if err := d.until(d.y, nil); err != nil || string(d.last.Value.Document) != text {
		d.t.Errorf("%v: %q is read, %q was confirmed", err, d.last.Value.Document, text)
	}
}

func TestRepeatedBootstrapKeepsLaterChanges(t *testing.T) {
	d := bootstrapValue(t)
	if err := d.end(d.x); err != nil {
		t.Errorf("its own founding: %v", err)
	}
	d.holds("theirs")
}

func TestBootstrapKeepsExistingRegister(t *testing.T) {
	d := bootstrapValue(t)
	z := NewProposer("z", 3)
	z.Bootstrap(d.now, d.now+time.Hour, 1, &Value{Fleet: "g", Voters: d.x.voters.Voters})
	d.only()
	d.run(z, 50*time.Millisecond)
	z.LearnVoters(d.y.voters)
	d.only("a", "b", "c")
	if err := d.until(d.y, take(1, "later")); err != nil {
		t.Fatal(err)
	}
	if err := d.end(z); fateOf(err) != "412" {
		t.Errorf("a second founding: %v", err)
	}
	d.holds("later")
}

// A register that is known by news stands on other disks than a late bootstrap would ask: these are empty, and must stay so.
func TestBootstrapOnOtherDisksEndsOnceRegisterIsKnown(t *testing.T) {
	d := bootstrapValue(t)
	var others []Voter
	for _, disk := range []string{"d", "e", "f"} {
		d.disks[disk] = &Acceptor{State{Disk: disk}}
		others = append(others, Voter{Disk: disk})
	}
	z := NewProposer("z", 3)
	z.Bootstrap(d.now, d.now+time.Hour, 1, &Value{Fleet: "g", Voters: others})
	z.LearnVoters(d.y.voters)
	d.only("a", "b", "c", "d", "e", "f")
	if err := d.end(z); fateOf(err) != "412" {
		t.Errorf("a second founding: %v", err)
	}
	for _, v := range others {
		if d.disks[v.Disk].Value != nil {
			t.Errorf("a second register stands on %s", v.Disk)
		}
	}
	d.holds("theirs")
}
