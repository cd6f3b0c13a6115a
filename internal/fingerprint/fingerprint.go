// Package fingerprint supports the model checker, which must recognize states that it has visited and copy state machines.
//
// A state machine encodes its state as bytes with AppendUvarints, AppendString and BoolByte; equal states must give equal bytes. Fingerprints
// are compared within one run only and are never stored or sent, so the encoding may change between builds. ConstantRand replaces the
// random generator in copies of state machines.
package fingerprint

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
)

// AppendUvarints appends each number in variable-length encoding.
func AppendUvarints(b []byte, numbers ...uint64) []byte {
	for _, n := range numbers {
		b = binary.AppendUvarint(b, n)
	}
	return b
}

// AppendString appends the length of s in bytes, then s. The length keeps adjacent strings from running together.
func AppendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// BoolByte returns 1 for true and 0 for false.
func BoolByte(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// constant is a random source without state, so copies of a state machine that use it stay equal. It always returns the highest number:
// a randomized delay drawn from it is the longest one.
type constant struct{}

// Uint64 returns the highest number. Bounded draws of math/rand/v2 would reject a constant zero and loop forever.
func (constant) Uint64() uint64 { return math.MaxUint64 }

// ConstantRand is the random generator of the model checker's copies of state machines. It has no state, and the delays that it yields
// don't matter because the model checker fires the timers of the copies itself.
var ConstantRand = rand.New(constant{})
