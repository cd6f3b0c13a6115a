package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/gravitational/trace"
)

// ErrNoValidSlot says that a disk holds more than a first write, and no slot of it can be read.
var ErrNoValidSlot = errors.New("no valid slot, yet more than a first write")

// UnreadableError is returned by Open for a file whose damage would lose entries that were synced.
type UnreadableError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *UnreadableError) Error() string { return e.File + " cannot be read: " + e.Cause.Error() }

// WriteFailedError is returned by each write after a failed one, until Recover succeeds.
type WriteFailedError struct{ Cause error }

// Error implements error.
func (e *WriteFailedError) Error() string {
	return "disk broke down earlier, nothing more is written: " + e.Cause.Error()
}

// Unwrap gives the cause.
func (e *WriteFailedError) Unwrap() error { return e.Cause }

// Unwrap gives the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

var table = crc32.MakeTable(crc32.Castagnoli)

const (
	magic   = 0x6d62_7631
	headLen = 20
	// MaxEntry is the largest body of a snapshot or of a batch of entries, in bytes.
	MaxEntry = 8 << 20
)

// Store writes one node's state. It is owned by one goroutine.
type Store struct {
	disk        Disk
	generation  uint64
	logBytes    int
	maxLogBytes int
	broken      error
	// slotDamaged says that the slot of the present generation cannot be read: only the slot and the log before it stand in for it.
	slotDamaged bool
	// unsynced are the files that Open read and nobody has synced since.
	unsynced []string
	// Repair says what Open found damaged and made good from the rest; empty for a sound disk.
	Repair string
}

func slotName(gen uint64) string { return fmt.Sprintf("slot%d", gen%2) }
func logName(gen uint64) string  { return fmt.Sprintf("log%d", gen%2) }

func pack(gen uint64, body []byte) []byte {
	raw := make([]byte, headLen, headLen+len(body))
	binary.BigEndian.PutUint32(raw[0:], magic)
	binary.BigEndian.PutUint64(raw[4:], gen)
	binary.BigEndian.PutUint32(raw[12:], uint32(len(body)))
	sum := crc32.Update(crc32.Checksum(raw[:16], table), table, body)
	binary.BigEndian.PutUint32(raw[16:], sum)
	return append(raw, body...)
}

// A record is a body in a slot or a log, with the generation that it belongs to.
type record struct {
	generation uint64
	body       []byte
}

// size is the length of the record on the disk, in bytes.
func (r record) size() int { return headLen + len(r.body) }

// unpack reads the record at the beginning of raw. It is not ok where none that is sound stands there.
func unpack(raw []byte) (record, bool) {
	if len(raw) < headLen || binary.BigEndian.Uint32(raw) != magic {
		return record{}, false
	}
	n := int(binary.BigEndian.Uint32(raw[12:]))
	if n > MaxEntry || len(raw) < headLen+n {
		return record{}, false
	}
	r := record{generation: binary.BigEndian.Uint64(raw[4:]), body: raw[headLen : headLen+n]}
	sum := crc32.Update(crc32.Checksum(raw[:16], table), table, r.body)
	return r, sum == binary.BigEndian.Uint32(raw[16:])
}

// Empty says that nothing was ever written to the disk; the first call must be Rotate.
func (v *Store) Empty() bool { return v.generation == 0 }

// Full says that the log has reached its bound, so that Rotate is due.
func (v *Store) Full() bool { return v.logBytes >= v.maxLogBytes }

func (v *Store) fail(err error) error {
	if v.broken == nil {
		v.broken = trace.Wrap(&WriteFailedError{Cause: err})
	}
	return v.broken
}
