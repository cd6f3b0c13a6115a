package lease

import "github.com/cespare/xxhash/v2"

// firstRequestID starts the request IDs of each incarnation elsewhere: an answer to the incarnation before, from a voter that was frozen,
// must match no round.
func firstRequestID(name string) uint64 { return xxhash.Sum64String(name) >> droppedHashBits }

// droppedHashBits are the bits of a hash that a first request ID leaves out, so that ids stay short and never wrap around.
const droppedHashBits = 16
