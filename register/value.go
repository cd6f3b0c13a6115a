package register

import (
	"slices"

	"github.com/mallowbridge/mallowbridge/chunk"
)

// Ballot identifies a round of a proposer. Ballots are ordered by number, then by the proposer's ID.
type Ballot struct {
	N  uint64
	By string
}

// Less reports whether b is lower than o.
func (b Ballot) Less(o Ballot) bool {
	return b.N < o.N || (b.N == o.N && b.By < o.By)
}

// Voter is a disk that votes: its ID, and the name of the node that has it.
type Voter struct {
	Disk string `json:"disk"`
	Name string `json:"name"`
}

// LegacyOrder is an applied order as stored by builds from before EditLog and OrderLog. It is read but never added.
type LegacyOrder struct {
	ID      string
	Version uint64
}

// Value is the value of the register. It is never modified in place: a Change works on a Clone.
type Value struct {
	// Fleet is the ID of the register, set when it was bootstrapped.
	Fleet string
	// Version increases with each change of the document or of the evacuated zones, Epoch with each change of the voters.
	Version uint64
	Epoch   uint64
	// Document is the configuration document as the operator sent it.
	Document       []byte
	EvacuatedZones []string
	// Voters are the disks that vote. NextVoters, unless empty, is the set that replaces them: until then, majorities of both sets are needed.
	Voters     []Voter
	NextVoters []Voter
	// LegacyOrders are the applied orders that older builds logged. Each order that is applied now removes the oldest one.
	LegacyOrders []LegacyOrder
	// EditLog and OrderLog are the logs of the orders that were applied most recently.
	EditLog  EditLog
	OrderLog OrderLog
	// AppliedOrders is the number of entries ever added to OrderLog, including those that it no longer has.
	AppliedOrders uint64
	// DocumentManifest replaces Document in messages if that is large: a value has one of the two. Proposers and acceptors only work on values that
	// have the document.
	DocumentManifest *chunk.Manifest
	// LogManifest replaces EditLog and OrderLog in the same way.
	LogManifest *chunk.Manifest
}

// Clone returns a copy that a Change may modify. The copy shares Document, EditLog and OrderLog, which are replaced but never written to.
func (v *Value) Clone() *Value {
	c := &Value{}
	*c = *v
	c.EvacuatedZones, c.Voters, c.NextVoters, c.LegacyOrders = slices.Clone(v.EvacuatedZones), slices.Clone(v.Voters), slices.Clone(v.NextVoters), slices.Clone(v.LegacyOrders)
	return c
}

// DocumentSize returns the size of the document in bytes.
func (v *Value) DocumentSize() int { return len(v.Document) }

// AllVoters returns the voters and the next voters, each disk once.
func (v *Value) AllVoters() []Voter {
	vs := slices.Clone(v.Voters)
	for _, n := range v.NextVoters {
		if !slices.ContainsFunc(vs, func(o Voter) bool { return o.Disk == n.Disk }) {
			vs = append(vs, n)
		}
	}
	return vs
}

// Newer reports whether v has a higher version than o, or the same version and a higher epoch. Any value is newer than nil.
func (v *Value) Newer(o *Value) bool {
	if v == nil || o == nil {
		return v != nil
	}
	return v.Version > o.Version || (v.Version == o.Version && v.Epoch > o.Epoch)
}

func sameDisks(a, b []Voter) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Disk != b[i].Disk {
			return false
		}
	}
	return true
}

// SameVoters reports whether two values have the same voters and next voters, in the same order.
func SameVoters(a, b *Value) bool {
	return sameDisks(a.Voters, b.Voters) && sameDisks(a.NextVoters, b.NextVoters)
}

func majority(set []Voter, has func(disk string) bool) bool {
	n := 0
	for _, v := range set {
		if has(v.Disk) {
			n++
		}
	}
	return n > len(set)/2
}

// Quorum reports whether has returns true for the disks of a majority of the voters, and of a majority of the next voters if there are any.
func Quorum(v *Value, has func(disk string) bool) bool {
	return majority(v.Voters, has) && (len(v.NextVoters) == 0 || majority(v.NextVoters, has))
}
