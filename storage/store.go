package storage

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/gravitational/trace"
)

type UnreadableError struct{ File, Why string }

func (e *UnreadableError) Error() (text string) { return e.File + " cannot be read: " + e.Why }

type BrokenError struct{ Cause string }

func (e *BrokenError) Error() (text string) {
	return "disk broke down earlier, nothing more is written: " + e.Cause
}

var table = crc32.MakeTable(crc32.Castagnoli)

const (
	magic    = 0x6d62_7631
	headLen  = 20
	MaxEntry = 8 << 20
)

type Store struct {
	disk        Disk
	generation  uint64
	logBytes    int
	maxLogBytes int
	broken      error
	Repair      string
}

func slotName(gen uint64) (name string) { return fmt.Sprintf("slot%d", gen%2) }
func logName(gen uint64) (name string)  { return fmt.Sprintf("log%d", gen%2) }

func pack(gen uint64, body []byte) (raw []byte) {
	raw = make([]byte, headLen, headLen+len(body))
	binary.BigEndian.PutUint32(raw[0:], magic)
	binary.BigEndian.PutUint64(raw[4:], gen)
	binary.BigEndian.PutUint32(raw[12:], uint32(len(body)))
	sum := crc32.Update(crc32.Checksum(raw[:16], table), table, body)
	binary.BigEndian.PutUint32(raw[16:], sum)
	return append(raw, body...)
}

func unpack(raw []byte) (gen uint64, body []byte, size int, ok bool) {
	if len(raw) < headLen || binary.BigEndian.Uint32(raw) != magic {
		return 0, nil, 0, false
	}
	gen = binary.BigEndian.Uint64(raw[4:])
	n := int(binary.BigEndian.Uint32(raw[12:]))
	if n > MaxEntry || len(raw) < headLen+n {
		return 0, nil, 0, false
	}
	body = raw[headLen : headLen+n]
	sum := crc32.Update(crc32.Checksum(raw[:16], table), table, body)
	return gen, body, headLen + n, sum == binary.BigEndian.Uint32(raw[16:])
}

func Open(disk Disk, logBytes int) (v *Store, slot []byte, entries [][]byte, err error) {
	v = &Store{disk: disk, maxLogBytes: logBytes}
	var slots, logs [2][]byte
	var gens [2]uint64
	var whole [2]bool
	empty, turned := true, false
	for i := range uint64(2) {
		var there bool
		if slots[i], there, err = disk.Read(slotName(i)); err != nil {
			return nil, nil, nil, trace.Wrap(&UnreadableError{File: slotName(i), Why: err.Error()})
		}
		empty, turned = empty && !there, turned || (there && i == 0)
		if logs[i], there, err = disk.Read(logName(i)); err != nil {
			return nil, nil, nil, trace.Wrap(&UnreadableError{File: logName(i), Why: err.Error()})
		}
		empty = empty && !there
		var body []byte
		var size int
		gens[i], body, size, whole[i] = unpack(slots[i])
		whole[i] = whole[i] && size == len(slots[i]) && gens[i]%2 == i
		slots[i] = body
	}
	if empty {
		return v, nil, nil, nil
	}
	if !whole[0] && !whole[1] {
		if len(logs[0])+len(logs[1]) == 0 && !turned {
			v.Repair = "both slots are torn and no log was begun: a first write was cut"
			return v, nil, nil, nil
		}
		return nil, nil, nil, trace.Wrap(&UnreadableError{File: "slot0 and slot1", Why: "no valid slot, yet more than a first write"})
	}
	best := 0
	if whole[1] && (!whole[0] || gens[1] > gens[0]) {
		best = 1
	}
	v.generation = gens[best]
	slot = slots[best]
	if err = v.replay(logs[best], &entries); err != nil {
		return nil, nil, nil, err
	}
	v.logBytes = v.tail(logs[best])
	if !whole[1-best] && len(logs[1-best]) > 0 && v.owns(logs[1-best], v.generation+1) {
		v.Repair = slotName(v.generation+1) + " cannot be read: recovered from " + slotName(v.generation) + " and both logs"
		v.generation++
		if err = v.replay(logs[1-best], &entries); err != nil {
			return nil, nil, nil, err
		}
		v.logBytes = v.tail(logs[1-best])
	}
	return v, slot, entries, nil
}

func (v *Store) owns(log []byte, gen uint64) (yes bool) {
	g, _, _, ok := unpack(log)
	return ok && g == gen
}

func (v *Store) tail(log []byte) (at int) {
	for at < len(log) {
		gen, _, size, ok := unpack(log[at:])
		if !ok || gen != v.generation {
			return at
		}
		at += size
	}
	return at
}

func (v *Store) replay(log []byte, entries *[][]byte) (err error) {
	at := 0
	for at < len(log) {
		gen, body, size, ok := unpack(log[at:])
		if !ok || gen != v.generation {
			break
		}
		batch, whole := split(body)
		if !whole {
			return trace.Wrap(&UnreadableError{File: logName(v.generation), Why: fmt.Sprintf("batch at byte %d has bad lengths", at)})
		}
		*entries = append(*entries, batch...)
		at += size
	}
	for next := at + 1; next < len(log); next++ {
		if gen, _, _, ok := unpack(log[next:]); ok && gen == v.generation {
			return trace.Wrap(&UnreadableError{File: logName(v.generation), Why: fmt.Sprintf("entry at byte %d is damaged and later ones are whole", at)})
		}
	}
	return nil
}

func (v *Store) Empty() (yes bool) { return v.generation == 0 }

func (v *Store) Full() (yes bool) { return v.logBytes >= v.maxLogBytes }

func (v *Store) fail(err error) (broke error) {
	if v.broken == nil {
		v.broken = trace.Wrap(&BrokenError{Cause: err.Error()})
	}
	return v.broken
}
