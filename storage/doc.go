// Package storage keeps one node's state on disk: a snapshot in two slots that are written in turn, and a short log of what came
// after it. Each entry is checksummed and synced before Append returns; a torn tail is cut off, other damage is reported.
package storage
