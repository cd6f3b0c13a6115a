package storage

import "encoding/binary"

func join(entries [][]byte) (batch []byte) {
	for _, e := range entries {
		batch = binary.AppendUvarint(batch, uint64(len(e)))
		batch = append(batch, e...)
	}
	return batch
}

func split(batch []byte) (entries [][]byte, ok bool) {
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

func (v *Store) Append(entries [][]byte) (err error) {
	if v.broken != nil {
		return v.broken
	}
	name := logName(v.generation)
	raw := pack(v.generation, join(entries))
	fresh := v.logBytes == 0
	if err = v.disk.Truncate(name, v.logBytes); err != nil {
		return v.fail(err)
	}
	if err = v.disk.Append(name, raw); err != nil {
		return v.fail(err)
	}
	if err = v.disk.Sync(name); err != nil {
		return v.fail(err)
	}
	if fresh {
		if err = v.disk.SyncFolder(); err != nil {
			return v.fail(err)
		}
	}
	v.logBytes += len(raw)
	return nil
}

// Mend forgets an earlier failure and writes everything anew, so that nothing depends on what that failure left behind.
func (v *Store) Recover(slot []byte) (err error) {
	v.broken = nil
	return v.Rotate(slot)
}

func (v *Store) Rotate(slot []byte) (err error) {
	if v.broken != nil {
		return v.broken
	}
	gen := v.generation + 1
	steps := []func() error{
		func() error { return v.disk.Write(slotName(gen), pack(gen, slot)) },
		func() error { return v.disk.Sync(slotName(gen)) },
		func() error { return v.disk.Write(logName(gen), nil) },
		func() error { return v.disk.Sync(logName(gen)) },
		func() error { return v.disk.SyncFolder() },
	}
	for _, step := range steps {
		if err = step(); err != nil {
			return v.fail(err)
		}
	}
	v.generation, v.logBytes = gen, 0
	return nil
}
