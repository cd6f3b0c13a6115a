// Package chunk cuts documents into content-defined chunks that are named by their hash, so that sending or storing a changed document costs
// about as much as the change.
//
// A Manifest describes a document in a message: it names segments, and each segment lists the names of consecutive chunks. A Store holds
// segments and chunks, assembles documents from manifests, and reports which chunks must still be fetched. A Delta describes a document by
// its differences from an earlier one, for the log on disk; an Index of the earlier document computes it. The package does no I/O and
// does not use the clock.
package chunk
