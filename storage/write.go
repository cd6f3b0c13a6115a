package storage

import "encoding/binary"

func join(entries [][]byte) []byte {
	var batch []byte
	for _, e := range entries {
		batch = binary.AppendUvarint(batch, uint64(len(e)))
		batch = append(batch, e...)
	}
	return batch
}

func split(batch []byte) ([][]byte, bool) {
	var entries [][]byte
	for len(batch) > 0 {
		n, size := binary.Uvarint(batch)
		if size <= 0 || n > uint64(len(batch)-size) {
			return nil, false
		}
		entries = append(entries, batch[size:size+int(n)])
		batch = batch[size+int(n):]
	}
	return entries, true
}

// Append writes entries behind those before and returns once they are durable. After an error nothing more is written until Recover.
func (v *Store) Append(entries [][]byte) error {
	if v.broken != nil {
		return v.broken
	}
	if err := v.confirmRead(); err != nil {
		return v.fail(err)
	}
	name := logName(v.generation)
	raw := pack(v.generation, join(entries))
	empty := v.logBytes == 0
	if err := v.disk.Truncate(name, v.logBytes); err != nil {
		return v.fail(err)
	}
	if err := v.disk.Append(name, raw); err != nil {
		return v.fail(err)
	}
	if err := v.disk.Sync(name); err != nil {
		return v.fail(err)
	}
	if empty {
		if err := v.disk.SyncFolder(); err != nil {
			return v.fail(err)
		}
	}
	v.logBytes += len(raw)
	return nil
}

// Recover forgets an earlier failure and writes everything anew, so that nothing depends on what that failure left behind.
func (v *Store) Recover(slot []byte) error {
	v.broken = nil
	return v.Rotate(slot)
}

// Rotate writes a snapshot that stands for all before it and begins a new log. Until it has returned, the snapshot and the log before
// it are left as they are.
func (v *Store) Rotate(slot []byte) error {
	if v.broken != nil {
		return v.broken
	}
	gen := v.nextGeneration()
	steps := []func() error{
		v.confirmRead,
		func() error { return v.disk.Write(slotName(gen), pack(gen, slot)) },
		func() error { return v.disk.Sync(slotName(gen)) },
		func() error { return v.disk.Write(logName(gen), nil) },
		func() error { return v.disk.Sync(logName(gen)) },
		func() error { return v.disk.SyncFolder() },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return v.fail(err)
		}
	}
	v.generation, v.logBytes, v.slotDamaged = gen, 0, false
	return nil
}

// nextGeneration decides which slot is overwritten: the older one, or the one that cannot be read, since the older one then carries all.
func (v *Store) nextGeneration() uint64 {
	if v.slotDamaged {
		return v.generation + 2
	}
	return v.generation + 1
}

// confirmRead syncs what Open read, once, before anything is written behind it or over its older half.
func (v *Store) confirmRead() error {
	if len(v.unsynced) == 0 {
		return nil
	}
	for _, name := range v.unsynced {
		if err := v.disk.Sync(name); err != nil {
			return err
		}
	}
	if err := v.disk.SyncFolder(); err != nil {
		return err
	}
	v.unsynced = nil
	return nil
}
