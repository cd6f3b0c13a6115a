// Package wire names the types that nodes send each other and keeps what they look like in gob apart from the types that the program
// works with.
//
// gob matches fields by their names and drops, without an error, those that it does not know. A type whose fields have other names today
// than when they were first sent has an encoded form: a struct with the old names, frozen, in the file encoding.go of its package.
//
// Types are registered by init functions only; after that the package is safe for concurrent use.
package wire

import (
	"encoding/gob"
	"reflect"
)

type conversion func(any) any

var (
	encoders = map[reflect.Type]conversion{}
	decoders = map[reflect.Type]conversion{}
)

// Register has messages of type M sent under a name in the form F.
func Register[M, F any](name string, encode func(M) F, decode func(F) M) {
	var form F
	gob.RegisterName(name, registrable(form))
	encoders[reflect.TypeFor[M]()] = func(msg any) any { return encode(msg.(M)) }
	decoders[reflect.TypeFor[F]()] = func(form any) any { return decode(form.(F)) }
}

// RegisterPlain has messages of the type of msg sent under a name as they are.
func RegisterPlain(name string, msg any) { gob.RegisterName(name, msg) }

// registrable is a value of the form's type that gob takes: it refuses nil pointers.
func registrable(form any) any {
	if t := reflect.TypeOf(form); t.Kind() == reflect.Pointer {
		return reflect.New(t.Elem()).Interface()
	}
	return form
}

// Encode gives the form of a message; a message without a form is its own.
func Encode(msg any) any {
	if encode := encoders[reflect.TypeOf(msg)]; encode != nil {
		return encode(msg)
	}
	return msg
}

// Decode gives the message of a form.
func Decode(form any) any {
	if decode := decoders[reflect.TypeOf(form)]; decode != nil {
		return decode(form)
	}
	return form
}

// ConvertSlice converts a list item by item; nil stays nil.
func ConvertSlice[From, To any](list []From, convert func(From) To) []To {
	if list == nil {
		return nil
	}
	converted := make([]To, len(list))
	for i, item := range list {
		converted[i] = convert(item)
	}
	return converted
}
