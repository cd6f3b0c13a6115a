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

const logBytes = 1 << 20

// DiskState is what a node keeps on its disk: its part of the register, and what it granted.
type DiskState struct {
	Register register.State
	Grants   map[string]lease.Record
}

// entry is what one write adds to the log. An accepted value with a large document has the document as a delta to that of the value
// accepted before it.
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

// OpenJournal reads what the disk kept, or begins a new disk under newID. A new disk that takes no bytes yet is opened as well: Append
// fails until Recover has succeeded.
func OpenJournal(disk storage.Disk, newID string) (*Journal, error) {
	v, contents, err := storage.Open(disk, logBytes)
	if err != nil {
		return nil, err
	}
	k := &Journal{store: v}
	if v.Empty() {
		k.state = DiskState{Register: register.State{Disk: newID}}
		return k, k.initialize()
	}
	var state encodedDiskState
	if err = decode("slot", contents.Snapshot, &state); err != nil {
		return nil, err
	}
	k.state = state.decode()
	for _, raw := range contents.Entries {
		var form encodedEntry
		if err = decode("log", raw, &form); err != nil {
			return nil, err
		}
		e := form.decode()
		if err = k.restore(&e); err != nil {
			return nil, err
		}
		k.apply(e)
	}
	return k, nil
}

// State is a copy of what is kept.
func (k *Journal) State() DiskState {
	kept := k.state
	kept.Grants = maps.Clone(k.state.Grants)
	return kept
}

// RepairReport says what was damaged and made good at the opening; empty for a sound disk.
func (k *Journal) RepairReport() string { return k.store.Repair }

// initialize writes the first snapshot. A disk that refuses it is broken until it is recovered, as at any other time.
func (k *Journal) initialize() error {
	var broken *storage.WriteFailedError
	var err error
	if err = k.rotate(); errors.As(err, &broken) {
		return nil
	}
	return err
}

func (k *Journal) rotate() error {
	raw, err := encode(encodeDiskState(k.state))
	if err != nil {
		return err
	}
	return k.store.Rotate(raw)
}

// Recover writes the whole state anew after a failure.
func (k *Journal) Recover() error {
	raw, err := encode(encodeDiskState(k.state))
	if err != nil {
		return err
	}
	return k.store.Recover(raw)
}

func (k *Journal) apply(e entry) {
	switch {
	case e.Promised != nil:
		k.state.Register.Promised = e.Promised.Ballot
	case e.Accepted != nil:
		k.state.Register.Promised, k.state.Register.Accepted, k.state.Register.Value = e.Accepted.Ballot, e.Accepted.Ballot, e.Accepted.Value
	case e.Granted != nil:
		if k.state.Grants == nil {
			k.state.Grants = map[string]lease.Record{}
		}
		k.state.Grants[e.Granted.Role] = e.Granted.Record
	}
}

// document is the document of the value accepted last.
func (k *Journal) document() []byte {
	if v := k.state.Register.Value; v != nil {
		return v.Document
	}
	return nil
}

// restore puts the document into an entry that was written with a delta.
func (k *Journal) restore(e *entry) error {
	if e.Document == nil || e.Accepted == nil {
		return nil
	}
	var err error
	e.Accepted.Value.Document, err = e.Document.Apply(k.document())
	if err != nil {
		return trace.Wrap(&storage.UnreadableError{File: "log", Cause: err})
	}
	return nil
}

// shorten makes of an entry what is written: only what differs from the document accepted before.
func (k *Journal) shorten(e entry) entry {
	if e.Accepted == nil || len(e.Accepted.Value.Document) <= register.MaxInlineDocument {
		return e
	}
	base, next := k.document(), e.Accepted.Value.Document
	if k.index == nil || !k.index.SameDocument(base) {
		k.index = chunk.NewIndex(base)
	}
	delta, index := k.index.Diff(next)
	k.index = index
	bare := e.Accepted.Value.Clone()
	bare.Document = nil
	return entry{Accepted: &AcceptedEntry{Ballot: e.Accepted.Ballot, Value: bare}, Document: &delta}
}

func wrap(w LogWrite) entry {
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

// Append writes entries and returns once they are durable. After an error nothing is written until Recover.
func (k *Journal) Append(ws []LogWrite) error {
	var raws [][]byte
	for _, w := range ws {
		e := wrap(w)
		short := k.shorten(e)
		k.apply(e)
		raw, err := encode(encodeEntry(short))
		if err != nil {
			return err
		}
		raws = append(raws, raw)
	}
	if err := k.store.Append(raws); err != nil || !k.store.Full() {
		return err
	}
	return k.rotate()
}
