package chunk

import "fmt"

// MissingError lists the names of the segments or chunks that the store needs to assemble a document.
type MissingError struct{ Names []Name }

func (e *MissingError) Error() string {
	return fmt.Sprintf("%d chunks are missing", len(e.Names))
}

// SizeError means that the chunks of a manifest have Bytes bytes in total instead of the manifest's size, Want.
type SizeError struct{ Bytes, Want int }

func (e *SizeError) Error() string {
	return fmt.Sprintf("the chunks have %d bytes in total, the manifest says %d", e.Bytes, e.Want)
}
