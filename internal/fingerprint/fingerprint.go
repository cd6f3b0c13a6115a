// Package fingerprint helps the model checker tell the states of state machines apart, and copy machines that draw random numbers.
// Fingerprints are compared within one run only; nothing stores or sends them.
package fingerprint

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
)

// AppendUvarints appends numbers, each of its own length.
func AppendUvarints(b []byte, numbers ...uint64) []byte {
	for _, n := range numbers {
		b = binary.AppendUvarint(b, n)
	}
	return b
}

// AppendString appends a string behind its length.
func AppendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// BoolByte is 1 for true.
func BoolByte(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// constant is a source without state: what draws from it waits the longest time, and equal copies stay equal.
type constant struct{}

// Uint64 returns the highest number; bounded draws would reject zero for ever.
func (constant) Uint64() uint64 { return math.MaxUint64 }

// ConstantRand draws nothing: copies of a machine for the model checker use it, which fires their timers by itself.
var ConstantRand = rand.New(constant{})
