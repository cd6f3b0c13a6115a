package register

import (
	"testing"
	"time"
)

// bootstrappedPair returns a pair in which x's bootstrap was accepted by all disks, but the replies were lost, and y has made a change since.
func bootstrappedPair(t *testing.T) *proposerPair {
	d := &proposerPair{t: t, disks: map[string]*Acceptor{}, reachable: map[string]bool{}, x: NewProposer("x", 1), y: NewProposer("y", 2)}
	var vs []Voter
	for _, disk := range []string{"a", "b", "c"} {
		d.disks[disk] = &Acceptor{State{Disk: disk}}
		vs = append(vs, Voter{Disk: disk})
	}
	d.setReachable("a", "b", "c")
	first := &Value{Fleet: "f", Voters: vs}
	d.x.Bootstrap(0, time.Hour, 1, first)
	d.dropAccepted = true
	d.run(d.x, 50*time.Millisecond)
	d.dropAccepted = false
	d.y.LearnVoters(first)
	if err := d.submitAndWait(d.y, edit(0, "theirs")); err != nil {
		t.Fatal(err)
	}
	return d
}

// checkDocument checks that the register contains the document.
func (d *proposerPair) checkDocument(text string) {
	d.t.Helper()
	if err := d.submitAndWait(d.y, nil); err != nil || string(d.last.Value.Document) != text {
		d.t.Errorf("error %v: read %q, confirmed was %q", err, d.last.Value.Document, text)
	}
}

func TestRepeatedBootstrapKeepsLaterChanges(t *testing.T) {
	d := bootstrappedPair(t)
	if err := d.waitForResult(d.x); err != nil {
		t.Errorf("the bootstrap of the existing register: %v", err)
	}
	d.checkDocument("theirs")
}

func TestBootstrapKeepsExistingRegister(t *testing.T) {
	d := bootstrappedPair(t)
	z := NewProposer("z", 3)
	z.Bootstrap(d.now, d.now+time.Hour, 1, &Value{Fleet: "g", Voters: d.x.known.Voters})
	d.setReachable()
	d.run(z, 50*time.Millisecond)
	z.LearnVoters(d.y.known)
	d.setReachable("a", "b", "c")
	if err := d.submitAndWait(d.y, edit(1, "later")); err != nil {
		t.Fatal(err)
	}
	if err := d.waitForResult(z); outcome(err) != "412" {
		t.Errorf("the bootstrap of a second register: %v", err)
	}
	d.checkDocument("later")
}

// The proposer learns of a register on other disks than those that its bootstrap names. The latter are empty and must stay empty.
func TestBootstrapOnOtherDisksEndsOnceRegisterIsKnown(t *testing.T) {
	d := bootstrappedPair(t)
	var others []Voter
	for _, disk := range []string{"d", "e", "f"} {
		d.disks[disk] = &Acceptor{State{Disk: disk}}
		others = append(others, Voter{Disk: disk})
	}
	z := NewProposer("z", 3)
	z.Bootstrap(d.now, d.now+time.Hour, 1, &Value{Fleet: "g", Voters: others})
	z.LearnVoters(d.y.known)
	d.setReachable("a", "b", "c", "d", "e", "f")
	if err := d.waitForResult(z); outcome(err) != "412" {
		t.Errorf("the bootstrap of a second register: %v", err)
	}
	for _, v := range others {
		if d.disks[v.Disk].Value != nil {
			t.Errorf("disk %s has a second register", v.Disk)
		}
	}
	d.checkDocument("theirs")
}
