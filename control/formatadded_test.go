package control_test

import (
	"reflect"
	"regexp"
	"slices"
)

// addedFields are the fields that were added to messages since the former build, each at the end of its message. The former build skips them,
// and its messages leave them at zero.
var addedFields = map[string][]string{"quota-answer": {"Left"}}

// withoutAdded returns the message as the former build decodes it.
func withoutAdded(name string, msg any) any {
	former := reflect.New(reflect.TypeOf(msg)).Elem()
	former.Set(reflect.ValueOf(msg))
	for _, field := range addedFields[name] {
		former.FieldByName(field).SetZero()
	}
	return former.Interface()
}

// formerSchema removes the added fields from the schema of a frame.
func formerSchema(name string, lines []string) []string {
	former := slices.Clone(lines)
	for _, field := range addedFields[name] {
		added := regexp.MustCompile(", " + field + " [^,{}]+}$")
		for i, line := range former {
			former[i] = added.ReplaceAllString(line, "}")
		}
	}
	return former
}
