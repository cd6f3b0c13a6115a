// Package wire registers the types of the messages that nodes send each other, and keeps their encoded forms in gob separate from the types
// that the rest of the program uses.
//
// A message type whose fields still have the names under which they were first sent is registered with RegisterPlain. gob matches fields by
// name and drops fields that the receiver does not know without an error. A message type whose fields were renamed therefore has an encoded
// form: a struct that keeps the old field names and must not change, in the file encoding.go of its package. It is registered with Register,
// and Encode and Decode convert between the two.
//
// Types are registered only by init functions; after that the package is safe for concurrent use.
package wire

import (
	"encoding/gob"
	"reflect"
)

type conversion func(any) any

var (
	// encoders contains the conversion to the encoded form by message type.
	encoders = map[reflect.Type]conversion{}
	// decoders contains the conversion to the message by type of the encoded form.
	decoders = map[reflect.Type]conversion{}
)

// Register registers E as the encoded form of messages of type M, under a name that identifies the type in gob streams.
func Register[M, E any](name string, encode func(M) E, decode func(E) M) {
	var encoded E
	gob.RegisterName(name, registrable(encoded))
	encoders[reflect.TypeFor[M]()] = func(msg any) any { return encode(msg.(M)) }
	decoders[reflect.TypeFor[E]()] = func(encoded any) any { return decode(encoded.(E)) }
}

// RegisterPlain registers the type of msg, which is sent without a conversion, under a name that identifies it in gob streams.
func RegisterPlain(name string, msg any) { gob.RegisterName(name, msg) }

// registrable returns a value of the type of encoded that gob can register: gob rejects nil pointers.
func registrable(encoded any) any {
	if t := reflect.TypeOf(encoded); t.Kind() == reflect.Pointer {
		return reflect.New(t.Elem()).Interface()
	}
	return encoded
}

// Encode returns the encoded form of a message, or the message itself if its type has none.
func Encode(msg any) any {
	if encode := encoders[reflect.TypeOf(msg)]; encode != nil {
		return encode(msg)
	}
	return msg
}

// Decode returns the message whose encoded form is encoded, or encoded itself if its type is sent without a conversion.
func Decode(encoded any) any {
	if decode := decoders[reflect.TypeOf(encoded)]; decode != nil {
		return decode(encoded)
	}
	return encoded
}

// ConvertSlice returns a new slice with each item converted, or nil if the slice is nil.
func ConvertSlice[From, To any](items []From, convert func(From) To) []To {
	if items == nil {
		return nil
	}
	converted := make([]To, len(items))
	for i, item := range items {
		converted[i] = convert(item)
	}
	return converted
}
