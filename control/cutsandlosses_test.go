package control

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// The grown shapes run only with ten seeds or more.
var cutAndLossSeeds = flag.Int("cutsandlosses", 3, "seeds a shape of TestCutsAndLostDisksTogether; grown shapes from 10 on")

// cutsAndLosses plays a day: machines without a disk are cut off from those with one in all partial ways, and as many disks as the fault
// tolerance allows are lost at once, each time after the ones before have been back for catchUp.
type cutsAndLosses struct {
	*lab
	shape   fleetShape
	rng     *rand.Rand
	catchUp time.Duration
	cuts    map[string]timedCut
	writes  int
	// confirmed is the number of the newest write that was confirmed.
	confirmed int
	lost      int
}

// timedCut is a partial cut of one node and the time at which it ends.
type timedCut struct {
	partialCut
	until time.Duration
}

// TestCutsAndLostDisksTogether checks that the newest confirmed document can be read at the end of days with cuts and lost and replaced disks,
// and that the register still takes changes.
func TestCutsAndLostDisksTogether(t *testing.T) {
	for _, shape := range append([]fleetShape{takeoverShape}, fleetShapes...) {
		if shape.nodes > 20 && *cutAndLossSeeds < 10 {
			continue
		}
		t.Run(shape.name, func(t *testing.T) {
			t.Parallel()
			playAllCutsAndLosses(t, shape)
		})
	}
}

func playAllCutsAndLosses(t *testing.T, shape fleetShape) {
	writes, lost := 0, 0
	for seed := range uint64(*cutAndLossSeeds) {
		day := playCutsAndLosses(t, shape, seed)
		writes, lost = writes+day.confirmed, lost+day.lost
	}
	if t.Logf("%s, %d seeds: %d changes confirmed, %d disks lost", shape.name, *cutAndLossSeeds, writes, lost); lost < 5**cutAndLossSeeds {
		t.Errorf("%s: only %d disks were lost", shape.name, lost)
	}
}

func playCutsAndLosses(t *testing.T, shape fleetShape, seed uint64) *cutsAndLosses {
	day := &cutsAndLosses{
		lab: newSizedLab(t, shape, seed+1), shape: shape, rng: rand.New(rand.NewPCG(seed, 46)), catchUp: shape.within, cuts: map[string]timedCut{},
	}
	day.run(8 * time.Second)
	day.cut = day.isCut
	for range 8 {
		day.loseSome()
		for until := day.now + day.catchUp + time.Duration(day.rng.IntN(600))*time.Millisecond; day.now < until; {
			day.cutOneOff()
			day.changeDocument()
		}
	}
	day.cut = nil
	day.run(3 * time.Second)
	got := day.read(day.order[shape.nodes-1])
	number, err := readNumber(got)
	if err != nil || number < day.confirmed || number > day.writes {
		t.Errorf("%s, seed %d: read %q, want the confirmed write %d of %d", shape.name, seed, got, day.confirmed, day.writes)
	}
	if a := day.write(day.order[shape.nodes-1], "last"); a.Err != nil {
		t.Errorf("%s, seed %d: a change at the end: %v", shape.name, seed, a.Err)
	}
	return day
}

func readNumber(document string) (int, error) {
	var number int
	_, err := fmt.Sscanf(strings.TrimPrefix(document, "w"), "%d", &number)
	return number, err
}

// isCut reports whether a message between a node that is cut off and a machine with a disk is lost.
func (d *cutsAndLosses) isCut(from, to string) bool {
	if from == to {
		return false
	}
	if cut, ok := d.cuts[from]; ok && d.now < cut.until && d.disks[to] != "" {
		return cut.lost(d.lab, to, true)
	}
	if cut, ok := d.cuts[to]; ok && d.now < cut.until && d.disks[from] != "" {
		return cut.lost(d.lab, from, false)
	}
	return false
}

// cutOneOff cuts a random node without a disk off for a while, unless half of these are cut off.
func (d *cutsAndLosses) cutOneOff() {
	cutOff := 0
	for _, cut := range d.cuts {
		if d.now < cut.until {
			cutOff++
		}
	}
	name := d.order[d.shape.disks+d.rng.IntN(d.shape.nodes-d.shape.disks)]
	if d.now >= d.cuts[name].until && cutOff < (d.shape.nodes-d.shape.disks)/2 {
		d.cuts[name] = timedCut{partialCut: partialCuts[d.rng.IntN(len(partialCuts))], until: d.now + time.Duration(500+d.rng.IntN(8000))*time.Millisecond}
	}
}

// loseSome makes as many machines as may be lost lose their disks, or replaces them by machines with other names.
func (d *cutsAndLosses) loseSome() {
	candidates := d.runningDisks()
	for _, at := range d.rng.Perm(len(candidates))[:d.shape.tolerate] {
		d.lost++
		name := candidates[at]
		d.wipe(name)
		d.run(time.Duration(50+d.rng.IntN(900)) * time.Millisecond)
		d.seeds = d.runningDisks()
		if d.rng.IntN(4) > 0 {
			d.boot(name, false)
			continue
		}
		d.addMachine()
	}
}

// runningDisks returns the names of the running machines with a disk.
func (d *cutsAndLosses) runningDisks() []string {
	var names []string
	for _, name := range d.order {
		if d.disks[name] != "" && !d.down[name] {
			names = append(names, name)
		}
	}
	return names
}

// changeDocument writes a document through a random node without a disk and waits for the answer.
func (d *cutsAndLosses) changeDocument() {
	d.writes++
	if a := d.write(d.order[d.shape.nodes-1-d.rng.IntN(3)], fmt.Sprint("w", d.writes)); a.Err == nil {
		d.confirmed = d.writes
	}
	d.run(time.Duration(d.rng.IntN(400)) * time.Millisecond)
}
