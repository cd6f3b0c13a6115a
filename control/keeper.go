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

type Kept struct {
	Pact   register.State
	Grants map[string]lease.Record
}

type entry struct {
	Promised *Promised
	Accepted *AcceptedEntry
	Granted  *Granted
}

type Keeper struct {
	v    *storage.Vault
	kept Kept
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

func OpenKeeper(disk storage.Disk, freshID string) (k *Keeper, err error) {
	v, slot, entries, err := storage.Open(disk, logBytes)
	if err != nil {
		return nil, err
	}
	k = &Keeper{v: v}
	if v.Empty() {
		k.kept = Kept{Pact: register.State{Disk: freshID}}
		return k, k.turn()
	}
	if err = decode("slot", slot, &k.kept); err != nil {
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

func (k *Keeper) Kept() (kept Kept) {
	kept = k.kept
	kept.Grants = maps.Clone(k.kept.Grants)
	return kept
}

func (k *Keeper) Repair() (what string) { return k.v.Repair }

func (k *Keeper) turn() (err error) {
	raw, err := encode(k.kept)
	if err != nil {
		return err
	}
	return k.v.Turn(raw)
}

// Mend writes the whole state anew after a failure.
func (k *Keeper) Mend() (err error) {
	raw, err := encode(k.kept)
	if err != nil {
		return err
	}
	return k.v.Mend(raw)
}

func (k *Keeper) apply(e entry) {
	switch {
	case e.Promised != nil:
		k.kept.Pact.Promised = e.Promised.Ballot
	case e.Accepted != nil:
		k.kept.Pact.Promised, k.kept.Pact.Accepted, k.kept.Pact.Value = e.Accepted.Ballot, e.Accepted.Ballot, e.Accepted.Value
	case e.Granted != nil:
		if k.kept.Grants == nil {
			k.kept.Grants = map[string]lease.Record{}
		}
		k.kept.Grants[e.Granted.Duty] = e.Granted.Record
	}
}

func wrap(w Write) (e entry) {
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

func (k *Keeper) Save(ws []Write) (err error) {
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
	if err = k.v.Add(raws); err != nil || !k.v.Full() {
		return err
	}
	return k.turn()
}
