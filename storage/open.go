package storage

import (
	"fmt"

	"github.com/gravitational/trace"
)

// slotFiles is one slot and its log as read from disk.
type slotFiles struct {
	slot, log             []byte
	slotExists, logExists bool
	generation            uint64
	// valid means that the slot holds a complete snapshot.
	valid bool
}

func (files slotFiles) exists() bool { return files.slotExists || files.logExists }

// Contents is the state that Open read: the newest valid snapshot, and the entries appended after it, oldest first.
type Contents struct {
	Snapshot []byte
	Entries  [][]byte
}

// Open reads the disk and writes nothing. The log is Full once it has maxLogBytes bytes.
//
// A process that was killed between a write and its sync leaves bytes that a later power loss can still remove. The returned contents are
// therefore durable only after the first successful write to the Store, and callers must not act on them before. Open returns an
// UnreadableError if entries that were synced may have been lost.
func Open(disk Disk, maxLogBytes int) (*Store, Contents, error) {
	s := &Store{disk: disk, maxLogBytes: maxLogBytes}
	var slots [2]slotFiles
	var err error
	for i := range uint64(2) {
		if slots[i], err = readSlotFiles(disk, i); err != nil {
			return nil, Contents{}, err
		}
	}
	if !slots[0].exists() && !slots[1].exists() {
		return s, Contents{}, nil
	}
	s.unsynced = existingFiles(slots)
	if !slots[0].valid && !slots[1].valid {
		return s.openWithoutValidSlot(slots)
	}
	best := 0
	if slots[1].valid && (!slots[0].valid || slots[1].generation > slots[0].generation) {
		best = 1
	}
	latest, other := slots[best], slots[1-best]
	s.generation = latest.generation
	contents := Contents{Snapshot: latest.slot}
	if err = s.replay(latest.log, &contents.Entries); err != nil {
		return nil, Contents{}, err
	}
	if other.valid || !s.startsWithRecord(other.log, s.generation+1) {
		return s, contents, nil
	}
	// The log of the next generation has entries, so that generation's snapshot was written but can no longer be read. Its state is that
	// of the previous slot and log, followed by its own log.
	s.generation++
	s.slotDamaged = true
	s.Repair = slotName(s.generation) + " cannot be read: recovered from " + slotName(s.generation-1) + " and both logs"
	if err = s.replay(other.log, &contents.Entries); err != nil {
		return nil, Contents{}, err
	}
	return s, contents, nil
}

func readSlotFiles(disk Disk, i uint64) (slotFiles, error) {
	raw, exists, err := disk.Read(slotName(i))
	var files slotFiles
	if err != nil {
		return files, trace.Wrap(&UnreadableError{File: slotName(i), Cause: err})
	}
	files.slotExists = exists
	files.log, files.logExists, err = disk.Read(logName(i))
	if err != nil {
		return files, trace.Wrap(&UnreadableError{File: logName(i), Cause: err})
	}
	r, ok := decodeRecord(raw)
	files.generation, files.slot = r.generation, r.body
	files.valid = ok && r.size() == len(raw) && r.generation%2 == i
	return files, nil
}

// existingFiles lists the names of the files that exist.
func existingFiles(slots [2]slotFiles) []string {
	var names []string
	for i, files := range slots {
		if files.slotExists {
			names = append(names, slotName(uint64(i)))
		}
		if files.logExists {
			names = append(names, logName(uint64(i)))
		}
	}
	return names
}

// openWithoutValidSlot treats a disk without a valid slot as empty if its first write was interrupted, since nothing was acknowledged yet, and
// returns an UnreadableError otherwise. The first write goes to slot1.
func (s *Store) openWithoutValidSlot(slots [2]slotFiles) (*Store, Contents, error) {
	if len(slots[0].log)+len(slots[1].log) == 0 && !slots[0].slotExists {
		s.Repair = "no valid slot and no log entries: the first write was interrupted"
		return s, Contents{}, nil
	}
	return nil, Contents{}, trace.Wrap(&UnreadableError{File: "slot0 and slot1", Cause: ErrNoValidSlot})
}

// startsWithRecord reports whether log begins with a valid record of the generation.
func (*Store) startsWithRecord(log []byte, generation uint64) bool {
	r, ok := decodeRecord(log)
	return ok && r.generation == generation
}

// replay appends the log's entries of the current generation to entries. A torn record at the end is ignored, and the next Append
// truncates it. A damaged record followed by a valid one is an error.
func (s *Store) replay(log []byte, entries *[][]byte) error {
	s.logBytes = 0
	for s.logBytes < len(log) {
		r, ok := decodeRecord(log[s.logBytes:])
		if !ok || r.generation != s.generation {
			break
		}
		batch, valid := decodeBatch(r.body)
		if !valid {
			return s.damagedLog("batch at byte %d has invalid entry lengths")
		}
		*entries = append(*entries, batch...)
		s.logBytes += r.size()
	}
	for next := s.logBytes + 1; next < len(log); next++ {
		if s.startsWithRecord(log[next:], s.generation) {
			return s.damagedLog("record at byte %d is damaged but a later record is valid")
		}
	}
	return nil
}

func (s *Store) damagedLog(format string) error {
	return trace.Wrap(&UnreadableError{File: logName(s.generation), Cause: fmt.Errorf(format, s.logBytes)})
}
