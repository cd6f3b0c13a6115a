// Package storage keeps one node's state on disk as a snapshot and a short log of the entries appended after it.
//
// There are two slots for snapshots, each with a log of its own. Rotate writes the next snapshot to the slot that is not in use and
// starts an empty log, so that the previous snapshot and log stay readable until the new ones are durable. Append adds a batch of entries
// to the current log and returns once the batch, which has a checksum, is synced. Open reads both slots and logs: a torn write at the end of a log is
// cut off, any other damage that could lose synced entries is returned as an UnreadableError.
//
// A Store writes to a Disk; Folder is the Disk in the file system.
package storage
