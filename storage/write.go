package storage

import "encoding/binary"

// encodeBatch joins entries, each preceded by its length as a uvarint.
func encodeBatch(entries [][]byte) []byte {
	var batch []byte
	for _, entry := range entries {
		batch = binary.AppendUvarint(batch, uint64(len(entry)))
		batch = append(batch, entry...)
	}
	return batch
}

// decodeBatch splits a batch into its entries. It returns false if a length is invalid.
func decodeBatch(batch []byte) ([][]byte, bool) {
	var entries [][]byte
	for len(batch) > 0 {
		length, lengthBytes := binary.Uvarint(batch)
		if lengthBytes <= 0 || length > uint64(len(batch)-lengthBytes) {
			return nil, false
		}
		entries = append(entries, batch[lengthBytes:lengthBytes+int(length)])
		batch = batch[lengthBytes+int(length):]
	}
	return entries, true
}

// Append adds a batch of entries to the log and returns once they are durable. After an error all writes fail until Recover succeeds.
func (s *Store) Append(entries [][]byte) error {
	if s.writeFailure != nil {
		return s.writeFailure
	}
	if err := s.syncReadFiles(); err != nil {
		return s.fail(err)
	}
	name := logName(s.generation)
	raw := encodeRecord(s.generation, encodeBatch(entries))
	firstEntry := s.logBytes == 0
	if err := s.disk.Truncate(name, s.logBytes); err != nil {
		return s.fail(err)
	}
	if err := s.disk.Append(name, raw); err != nil {
		return s.fail(err)
	}
	if err := s.disk.Sync(name); err != nil {
		return s.fail(err)
	}
	if firstEntry {
		if err := s.disk.SyncFolder(); err != nil {
			return s.fail(err)
		}
	}
	s.logBytes += len(raw)
	return nil
}

// Recover clears an earlier write failure and writes a new snapshot, so that no state depends on what the failed write left on disk.
func (s *Store) Recover(snapshot []byte) error {
	s.writeFailure = nil
	return s.Rotate(snapshot)
}

// Rotate writes a snapshot that replaces the previous snapshot and log, and starts a new log. The previous snapshot and log stay
// unchanged until Rotate has returned.
func (s *Store) Rotate(snapshot []byte) error {
	if s.writeFailure != nil {
		return s.writeFailure
	}
	generation := s.nextGeneration()
	steps := []func() error{
		s.syncReadFiles,
		func() error { return s.disk.Write(slotName(generation), encodeRecord(generation, snapshot)) },
		func() error { return s.disk.Sync(slotName(generation)) },
		func() error { return s.disk.Write(logName(generation), nil) },
		func() error { return s.disk.Sync(logName(generation)) },
		func() error { return s.disk.SyncFolder() },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return s.fail(err)
		}
	}
	s.generation, s.logBytes, s.slotDamaged = generation, 0, false
	return nil
}

// nextGeneration returns the next generation, whose slot Rotate overwrites: the older slot or, if the newer one cannot be read, the newer one,
// because all state then depends on the older one.
func (s *Store) nextGeneration() uint64 {
	if s.slotDamaged {
		return s.generation + 2
	}
	return s.generation + 1
}

// syncReadFiles syncs the files that Open read, before the first write appends to them or overwrites the older slot.
func (s *Store) syncReadFiles() error {
	if len(s.unsynced) == 0 {
		return nil
	}
	for _, name := range s.unsynced {
		if err := s.disk.Sync(name); err != nil {
			return err
		}
	}
	if err := s.disk.SyncFolder(); err != nil {
		return err
	}
	s.unsynced = nil
	return nil
}
