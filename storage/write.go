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

func (v *Vault) Add(entries [][]byte) (err error) {
	if v.broken != nil {
		return v.broken
	}
	name := logName(v.gen)
	raw := pack(v.gen, join(entries))
	fresh := v.log == 0
	if err = v.disk.Cut(name, v.log); err != nil {
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
	v.log += len(raw)
	return nil
}

// Mend forgets an earlier failure and writes everything anew, so that nothing depends on what that failure left behind.
func (v *Vault) Mend(slot []byte) (err error) {
	v.broken = nil
	return v.Turn(slot)
}

func (v *Vault) Turn(slot []byte) (err error) {
	if v.broken != nil {
		return v.broken
	}
	gen := v.gen + 1
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
	v.gen, v.log = gen, 0
	return nil
}
