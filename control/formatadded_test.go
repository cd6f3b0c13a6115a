package control_test

import (
	"reflect"
	"regexp"
	"slices"

	"github.com/mallowbridge/mallowbridge/gossip"
)

// addedFields are the fields that were added to messages since the former build, each at the end of its message or of its gossip item. The
// former build skips them, and its messages leave them at zero.
var addedFields = map[string][]string{
	"quota-answer": {"Left"}, "gossip-loads": {"Unleased"}, "gossip-listconfirmation": {"Unleased"},
}

// withoutAdded returns the message as the former build decodes it.
func withoutAdded(name string, msg any) any {
	update, ok := msg.(gossip.Update)
	if !ok {
		return withoutFields(msg, addedFields[name])
	}
	update.Items = slices.Clone(update.Items)
	for i := range update.Items {
		update.Items[i].Data = withoutFields(update.Items[i].Data, addedFields[name])
	}
	return update
}

// withoutFields returns a copy of a struct with the named fields at zero.
func withoutFields(data any, fields []string) any {
	if len(fields) == 0 {
		return data
	}
	former := reflect.New(reflect.TypeOf(data)).Elem()
	former.Set(reflect.ValueOf(data))
	for _, field := range fields {
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
