package control

import (
	"bytes"
	"encoding/gob"
	"maps"

	"github.com/gravitational/trace"

	"github.com/mallowbridge/mallowbridge/lease"
	"github.com/mallowbridge/mallowbridge/register"
	"github.com/mallowbridge/mallowbridge/storage"
)

const logBytes = 1 << 20

type DiskState struct {
	Pact   register.State
	Grants map[string]lease.Record
}

type entry struct {
	Promised *Promised
	Accepted *AcceptedEntry
	Granted  *Granted
}

type Journal struct {
	store *storage.Store
	state DiskState
}

func encode(v any) (raw []byte, err error) {
	var buf bytes.Buffer
	if err = gob.NewEncoder(&buf).Encode(v); err != nil {
		return nil, trace.Wrap(err)
	}
	return buf.Bytes(), nil
}

func decode(file string, raw []byte, v any) (err error) {
	if err = gob.NewDecoder(bytes.NewReader(raw)).Decode(v); err != nil {
		return trace.Wrap(&storage.UnreadableError{File: file, Why: err.Error()})
	}
	return nil
}

func OpenJournal(disk storage.Disk, freshID string) (k *Journal, err error) {
	v, slot, entries, err := storage.Open(disk, logBytes)
	if err != nil {
		return nil, err
	}
	k = &Journal{store: v}
	if v.Empty() {
		k.state = DiskState{Pact: register.State{Disk: freshID}}
		return k, k.rotate()
	}
	if err = decode("slot", slot, &k.state); err != nil {
		return nil, err
	}
	for _, raw := range entries {
		var e entry
		if err = decode("log", raw, &e); err != nil {
			return nil, err
		}
		k.apply(e)
	}
	return k, nil
}

func (k *Journal) State() (kept DiskState) {
	kept = k.state
	kept.Grants = maps.Clone(k.state.Grants)
	return kept
}

func (k *Journal) Repair() (what string) { return k.store.Repair }

func (k *Journal) rotate() (err error) {
	raw, err := encode(k.state)
	if err != nil {
		return err
	}
	return k.store.Rotate(raw)
}

// Mend writes the whole state anew after a failure.
func (k *Journal) Recover() (err error) {
	raw, err := encode(k.state)
	if err != nil {
		return err
	}
	return k.store.Recover(raw)
}

func (k *Journal) apply(e entry) {
	switch {
	case e.Promised != nil:
		k.state.Pact.Promised = e.Promised.Ballot
	case e.Accepted != nil:
		k.state.Pact.Promised, k.state.Pact.Accepted, k.state.Pact.Value = e.Accepted.Ballot, e.Accepted.Ballot, e.Accepted.Value
	case e.Granted != nil:
		if k.state.Grants == nil {
			k.state.Grants = map[string]lease.Record{}
		}
		k.state.Grants[e.Granted.Duty] = e.Granted.Record
	}
}

func wrap(w LogWrite) (e entry) {
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

func (k *Journal) Append(ws []LogWrite) (err error) {
	var raws [][]byte
	for _, w := range ws {
		e := wrap(w)
		k.apply(e)
		raw, err := encode(e)
		if err != nil {
			return err
		}
		raws = append(raws, raw)
	}
	if err = k.store.Append(raws); err != nil || !k.store.Full() {
		return err
	}
	return k.rotate()
}
