package lease

import "github.com/cespare/xxhash/v2"

// firstRequestID starts the round ids of each life elsewhere: an answer to the life before, from a voter that was frozen, must match no round.
func firstRequestID(name string) uint64 { return xxhash.Sum64String(name) >> droppedHashBits }

// droppedHashBits are the bits of a hash that a first round id leaves out, so that ids stay short and never wrap around.
const droppedHashBits = 16
