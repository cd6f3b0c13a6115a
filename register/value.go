package register

import (
	"slices"

	"github.com/mallowbridge/mallowbridge/chunk"
)

// Ballot orders the rounds of all proposers: by number, then by the proposer's name.
type Ballot struct {
	N  uint64
	By string
}

// Less tells whether b comes before o.
func (b Ballot) Less(o Ballot) bool {
	return b.N < o.N || (b.N == o.N && b.By < o.By)
}

// Voter is a disk that votes, and the name of the node that holds it.
type Voter struct {
	Disk string `json:"disk"`
	Name string `json:"name"`
}

// LegacyOrder is an order that builds before the packed lists kept whole; it is only read.
type LegacyOrder struct {
	ID      string
	Version uint64
}

// Value is what the register holds. It is never changed in place: a Change works on a Clone.
type Value struct {
	// Fleet names the register since it was bootstrapped.
	Fleet string
	// Version rises with each change of the document or of the evacuated zones, Epoch with each change of voters.
	Version uint64
	Epoch   uint64
	// Document is the operators' document as it was sent, EvacuatedZones the evacuated zones.
	Document       []byte
	EvacuatedZones []string
	// Voters are the disks that vote. Next, unless empty, is the set that follows: until it has, majorities of both are needed.
	Voters     []Voter
	NextVoters []Voter
	// LegacyOrders is the memory of orders of older builds: kept while there is nothing better.
	LegacyOrders []LegacyOrder
	// EditLog and OrderLog are the memory of orders that were taken.
	EditLog  EditLog
	OrderLog OrderLog
	// AppliedOrders counts the entries ever made in OrderLog.
	AppliedOrders uint64
	// DocumentManifest stands for Document in messages where that is large: one of the two is there. No state machine sees it.
	DocumentManifest *chunk.Manifest
	// LogManifest stands for EditLog and OrderLog in the same way.
	LogManifest *chunk.Manifest
}

// Clone copies a value so that a Change may alter it. Document, EditLog and OrderLog are shared: they are replaced, never written to.
func (v *Value) Clone() *Value {
	c := &Value{}
	*c = *v
	c.EvacuatedZones, c.Voters, c.NextVoters, c.LegacyOrders = slices.Clone(v.EvacuatedZones), slices.Clone(v.Voters), slices.Clone(v.NextVoters), slices.Clone(v.LegacyOrders)
	return c
}

// DocumentSize is the number of bytes of the document.
func (v *Value) DocumentSize() int { return len(v.Document) }

// AllVoters lists the voters and the next ones, each once.
func (v *Value) AllVoters() []Voter {
	vs := slices.Clone(v.Voters)
	for _, n := range v.NextVoters {
		if !slices.ContainsFunc(vs, func(o Voter) bool { return o.Disk == n.Disk }) {
			vs = append(vs, n)
		}
	}
	return vs
}

// Newer tells whether v was made after o, by version and epoch; any value is newer than none.
func (v *Value) Newer(o *Value) bool {
	if v == nil || o == nil {
		return v != nil
	}
	return v.Version > o.Version || (v.Version == o.Version && v.Epoch > o.Epoch)
}

func sameVoters(a, b []Voter) bool {
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

// SameVoters tells whether two values have the same voters and next voters.
func SameVoters(a, b *Value) bool {
	return sameVoters(a.Voters, b.Voters) && sameVoters(a.NextVoters, b.NextVoters)
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

// Quorum tells whether the disks for which has returns true hold a majority of the voters, and of the next ones if there are any.
func Quorum(v *Value, has func(disk string) bool) bool {
	return majority(v.Voters, has) && (len(v.NextVoters) == 0 || majority(v.NextVoters, has))
}
