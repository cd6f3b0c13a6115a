package lease

import "github.com/cespare/xxhash/v2"

// firstRequestID returns the first request ID of a holder, derived from its name, which differs between incarnations. A voter that was frozen
// may answer a request from the previous incarnation; that answer must not match a request of the current one.
func firstRequestID(name string) uint64 { return xxhash.Sum64String(name) >> droppedHashBits }

// droppedHashBits is the number of hash bits that a first request ID drops, so that IDs stay short and never wrap around.
const droppedHashBits = 16
