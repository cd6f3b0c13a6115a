package control

import (
	"bytes"
	"encoding/gob"
	"errors"
	"maps"

	"github.com/gravitational/trace"

	"github.com/mallowbridge/mallowbridge/chunk"
	"github.com/mallowbridge/mallowbridge/lease"
	"github.com/mallowbridge/mallowbridge/register"
	"github.com/mallowbridge/mallowbridge/storage"
)

// logBytes is the size of the log, in bytes, at which the state is written as a new snapshot.
const logBytes = 1 << 20

// DiskState is the state that a node keeps on its disk: its acceptor's state and the leases that it granted.
type DiskState struct {
	Register register.State
	Grants   map[string]lease.Record
}

// entry is the record that one write appends to the log. For an accepted value with a large document, Document is the document as a delta
// to that of the previously accepted value.
type entry struct {
	Promised *Promised
	Accepted *AcceptedEntry
	Granted  *Granted
	Document *chunk.Delta
}

// Journal keeps a DiskState on disk. It is owned by one goroutine.
type Journal struct {
	store *storage.Store
	state DiskState
	index *chunk.Index
}

func encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(v); err != nil {
		return nil, trace.Wrap(err)
	}
	return buf.Bytes(), nil
}

func decode(file string, raw []byte, v any) error {
	if err := gob.NewDecoder(bytes.NewReader(raw)).Decode(v); err != nil {
		return trace.Wrap(&storage.UnreadableError{File: file, Cause: err})
	}
	return nil
}

// OpenJournal reads the state from a disk, or initializes a new disk with the ID newID. It also opens a new disk that accepts no writes
// yet: Append then fails until Recover has succeeded.
func OpenJournal(disk storage.Disk, newID string) (*Journal, error) {
	store, contents, err := storage.Open(disk, logBytes)
	if err != nil {
		return nil, err
	}
	j := &Journal{store: store}
	if store.Empty() {
		j.state = DiskState{Register: register.State{Disk: newID}}
		return j, j.initialize()
	}
	var state encodedDiskState
	if err = decode("slot", contents.Snapshot, &state); err != nil {
		return nil, err
	}
	j.state = state.decode()
	for _, raw := range contents.Entries {
		var encoded encodedEntry
		if err = decode("log", raw, &encoded); err != nil {
			return nil, err
		}
		e := encoded.decode()
		if err = j.restoreDocument(&e); err != nil {
			return nil, err
		}
		j.apply(e)
	}
	return j, nil
}

// State returns a copy of the state.
func (j *Journal) State() DiskState {
	state := j.state
	state.Grants = maps.Clone(j.state.Grants)
	return state
}

// RepairReport describes the damage that was found and repaired when the journal was opened; it is empty for an undamaged disk.
func (j *Journal) RepairReport() string { return j.store.Repair }

// initialize writes the first snapshot. If the disk refuses it, the journal stays in the failed state until Recover succeeds, as after any
// other failed write.
func (j *Journal) initialize() error {
	var broken *storage.WriteFailedError
	var err error
	if err = j.rotate(); errors.As(err, &broken) {
		return nil
	}
	return err
}

func (j *Journal) rotate() error {
	raw, err := encode(encodeDiskState(j.state))
	if err != nil {
		return err
	}
	return j.store.Rotate(raw)
}

// Recover writes the whole state anew after a failed write.
func (j *Journal) Recover() error {
	raw, err := encode(encodeDiskState(j.state))
	if err != nil {
		return err
	}
	return j.store.Recover(raw)
}

func (j *Journal) apply(e entry) {
	switch {
	case e.Promised != nil:
		j.state.Register.Promised = e.Promised.Ballot
	case e.Accepted != nil:
		j.state.Register.Promised, j.state.Register.Accepted, j.state.Register.Value = e.Accepted.Ballot, e.Accepted.Ballot, e.Accepted.Value
	case e.Granted != nil:
		if j.state.Grants == nil {
			j.state.Grants = map[string]lease.Record{}
		}
		j.state.Grants[e.Granted.Role] = e.Granted.Record
	}
}

// document returns the document of the last accepted value.
func (j *Journal) document() []byte {
	if v := j.state.Register.Value; v != nil {
		return v.Document
	}
	return nil
}

// restoreDocument restores the document of an entry that was written with a delta.
func (j *Journal) restoreDocument(e *entry) error {
	if e.Document == nil || e.Accepted == nil {
		return nil
	}
	var err error
	e.Accepted.Value.Document, err = e.Document.Apply(j.document())
	if err != nil {
		return trace.Wrap(&storage.UnreadableError{File: "log", Cause: err})
	}
	return nil
}

// withDelta returns an entry in the form that is written: a large document is replaced by its delta to the previously accepted one.
func (j *Journal) withDelta(e entry) entry {
	if e.Accepted == nil || len(e.Accepted.Value.Document) <= register.MaxInlineDocument {
		return e
	}
	base, next := j.document(), e.Accepted.Value.Document
	if j.index == nil || !j.index.SameDocument(base) {
		j.index = chunk.NewIndex(base)
	}
	delta, index := j.index.Diff(next)
	j.index = index
	stripped := e.Accepted.Value.Clone()
	stripped.Document = nil
	return entry{Accepted: &AcceptedEntry{Ballot: e.Accepted.Ballot, Value: stripped}, Document: &delta}
}

func newEntry(w LogWrite) entry {
	var e entry
	switch x := w.Entry.(type) {
	case Promised:
		e.Promised = &x
	case AcceptedEntry:
		e.Accepted = &x
	case Granted:
		e.Granted = &x
	}
	return e
}

// Append writes entries and returns once they are durable. After an error nothing more is written until Recover succeeds.
func (j *Journal) Append(ws []LogWrite) error {
	var raws [][]byte
	for _, w := range ws {
		e := newEntry(w)
		shortened := j.withDelta(e)
		j.apply(e)
		raw, err := encode(encodeEntry(shortened))
		if err != nil {
			return err
		}
		raws = append(raws, raw)
	}
	if err := j.store.Append(raws); err != nil || !j.store.Full() {
		return err
	}
	return j.rotate()
}
