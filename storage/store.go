package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/gravitational/trace"
)

// ErrNoValidSlot means that neither slot can be read although the disk holds more than an interrupted first write.
var ErrNoValidSlot = errors.New("no valid slot, but the disk holds more than an interrupted first write")

// UnreadableError is returned by Open for a file whose damage would lose entries that were synced.
type UnreadableError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *UnreadableError) Error() string { return e.File + " cannot be read: " + e.Cause.Error() }

// WriteFailedError is returned by a write that fails and by each later write until Recover succeeds. Cause is the first failure.
type WriteFailedError struct{ Cause error }

// Error implements error.
func (e *WriteFailedError) Error() string {
	return "a disk write failed, no writes until recovery: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *WriteFailedError) Unwrap() error { return e.Cause }

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

var crcTable = crc32.MakeTable(crc32.Castagnoli)

const (
	recordMagic = 0x6d62_7631
	headerBytes = 20
	// MaxEntry is the largest body of a snapshot or of a batch of entries, in bytes.
	MaxEntry = 8 << 20
)

// Store writes one node's state. It is not safe for concurrent use.
type Store struct {
	disk Disk
	// generation numbers the snapshots; it is 0 before the first one. Its parity selects the slot and the log.
	generation uint64
	// logBytes is the length of the valid part of the current log; the log is full from maxLogBytes on.
	logBytes    int
	maxLogBytes int
	// writeFailure is the error of the first failed write since the last Recover.
	writeFailure error
	// slotDamaged means that the slot of the current generation cannot be read: its snapshot exists only as the previous slot and log.
	slotDamaged bool
	// unsynced lists the files that Open read and that have not been synced since.
	unsynced []string
	// Repair describes damage that Open found and could recover from; it is empty for an intact disk.
	Repair string
}

func slotName(generation uint64) string { return fmt.Sprintf("slot%d", generation%2) }
func logName(generation uint64) string  { return fmt.Sprintf("log%d", generation%2) }

func encodeRecord(generation uint64, body []byte) []byte {
	raw := make([]byte, headerBytes, headerBytes+len(body))
	binary.BigEndian.PutUint32(raw[0:], recordMagic)
	binary.BigEndian.PutUint64(raw[4:], generation)
	binary.BigEndian.PutUint32(raw[12:], uint32(len(body)))
	sum := crc32.Update(crc32.Checksum(raw[:16], crcTable), crcTable, body)
	binary.BigEndian.PutUint32(raw[16:], sum)
	return append(raw, body...)
}

// record is a snapshot in a slot or a batch of entries in a log, with the generation that it belongs to.
type record struct {
	generation uint64
	body       []byte
}

// size is the length of the record on disk in bytes, including its header.
func (r record) size() int { return headerBytes + len(r.body) }

// decodeRecord reads the record at the beginning of raw. It returns false if there is no valid record.
func decodeRecord(raw []byte) (record, bool) {
	if len(raw) < headerBytes || binary.BigEndian.Uint32(raw) != recordMagic {
		return record{}, false
	}
	n := int(binary.BigEndian.Uint32(raw[12:]))
	if n > MaxEntry || len(raw) < headerBytes+n {
		return record{}, false
	}
	r := record{generation: binary.BigEndian.Uint64(raw[4:]), body: raw[headerBytes : headerBytes+n]}
	sum := crc32.Update(crc32.Checksum(raw[:16], crcTable), crcTable, r.body)
	return r, sum == binary.BigEndian.Uint32(raw[16:])
}

// Empty reports whether nothing was ever written to the disk. The first write must then be Rotate.
func (s *Store) Empty() bool { return s.generation == 0 }

// Full reports whether the log has reached its maximum size, so that Rotate should be called.
func (s *Store) Full() bool { return s.logBytes >= s.maxLogBytes }

// fail makes all writes fail until Recover, and returns the error of the first failed write.
func (s *Store) fail(err error) error {
	if s.writeFailure == nil {
		s.writeFailure = trace.Wrap(&WriteFailedError{Cause: err})
	}
	return s.writeFailure
}
