package storage

import (
	"fmt"

	"github.com/gravitational/trace"
)

// A half is one slot with its log, as they were read.
type half struct {
	slot, log           []byte
	slotThere, logThere bool
	generation          uint64
	complete            bool
}

func (h half) there() bool { return h.slotThere || h.logThere }

// Contents are what a disk holds: the newest whole snapshot, and the entries after it in the order of their Append.
type Contents struct {
	Snapshot []byte
	Entries  [][]byte
}

// Open reads the disk and writes nothing. A process
// that was killed between a write and its sync left bytes that a loss of power may yet take away: all that is returned is durable only
// when the first write has succeeded, and nobody may act on it before. A disk that may have lost entries which were synced is reported
// as UnreadableError. The log is Full from logBytes on.
func Open(disk Disk, logBytes int) (*Store, Contents, error) {
	v := &Store{disk: disk, maxLogBytes: logBytes}
	var halves [2]half
	var err error
	for i := range uint64(2) {
		if halves[i], err = readHalf(disk, i); err != nil {
			return nil, Contents{}, err
		}
	}
	if !halves[0].there() && !halves[1].there() {
		return v, Contents{}, nil
	}
	v.unsynced = namesOf(halves)
	if !halves[0].complete && !halves[1].complete {
		return v.openTorn(halves)
	}
	best := 0
	if halves[1].complete && (!halves[0].complete || halves[1].generation > halves[0].generation) {
		best = 1
	}
	latest, other := halves[best], halves[1-best]
	v.generation = latest.generation
	contents := Contents{Snapshot: latest.slot}
	if err = v.replay(latest.log, &contents.Entries); err != nil {
		return nil, Contents{}, err
	}
	if other.complete || !v.owns(other.log, v.generation+1) {
		return v, contents, nil
	}
	v.generation++
	v.slotDamaged = true
	v.Repair = slotName(v.generation) + " cannot be read: recovered from " + slotName(v.generation-1) + " and both logs"
	if err = v.replay(other.log, &contents.Entries); err != nil {
		return nil, Contents{}, err
	}
	return v, contents, nil
}

func readHalf(disk Disk, i uint64) (half, error) {
	raw, there, err := disk.Read(slotName(i))
	var h half
	if err != nil {
		return h, trace.Wrap(&UnreadableError{File: slotName(i), Cause: err})
	}
	h.slotThere = there
	h.log, h.logThere, err = disk.Read(logName(i))
	if err != nil {
		return h, trace.Wrap(&UnreadableError{File: logName(i), Cause: err})
	}
	r, ok := unpack(raw)
	h.generation, h.slot = r.generation, r.body
	h.complete = ok && r.size() == len(raw) && r.generation%2 == i
	return h, nil
}

func namesOf(halves [2]half) []string {
	var names []string
	for i, h := range halves {
		if h.slotThere {
			names = append(names, slotName(uint64(i)))
		}
		if h.logThere {
			names = append(names, logName(uint64(i)))
		}
	}
	return names
}

// openTorn opens a disk without a whole slot: new, if its first write was cut before anything was acknowledged, else unreadable.
func (v *Store) openTorn(halves [2]half) (*Store, Contents, error) {
	if len(halves[0].log)+len(halves[1].log) == 0 && !halves[0].slotThere {
		v.Repair = "both slots are torn and no log was begun: a first write was cut"
		return v, Contents{}, nil
	}
	return nil, Contents{}, trace.Wrap(&UnreadableError{File: "slot0 and slot1", Cause: ErrNoValidSlot})
}

func (*Store) owns(log []byte, gen uint64) bool {
	r, ok := unpack(log)
	return ok && r.generation == gen
}

// replay appends the log's entries of the present generation. A torn end is left for the next Append to cut off; a damaged entry with
// whole ones behind it is an error.
func (v *Store) replay(log []byte, entries *[][]byte) error {
	v.logBytes = 0
	for v.logBytes < len(log) {
		r, ok := unpack(log[v.logBytes:])
		if !ok || r.generation != v.generation {
			break
		}
		batch, complete := split(r.body)
		if !complete {
			return v.damaged("batch at byte %d has bad lengths")
		}
		*entries = append(*entries, batch...)
		v.logBytes += r.size()
	}
	for next := v.logBytes + 1; next < len(log); next++ {
		if v.owns(log[next:], v.generation) {
			return v.damaged("entry at byte %d is damaged and later ones are whole")
		}
	}
	return nil
}

func (v *Store) damaged(why string) error {
	return trace.Wrap(&UnreadableError{File: logName(v.generation), Cause: fmt.Errorf(why, v.logBytes)})
}
