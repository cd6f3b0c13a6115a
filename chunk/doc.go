// Package chunk cuts a document into content-defined chunks that are named by their hash, so that a change of the document costs what it
// changes: messages carry a Manifest, which names the parts of the list of names; a Store holds chunks and assembles documents; a Delta describes a document by
// what differs from an earlier one, for a log on disk. All is pure: no time, no I/O.
package chunk
