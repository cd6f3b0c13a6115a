package proxy

import (
	"reflect"
	"strings"
	"sync/atomic"
)

// Map returns the counters by their names, which are "ferry." followed by the field name with a lower-case first letter, such as
// "ferry.requests".
func (n *Counters) Map() map[string]uint64 {
	c := map[string]uint64{}
	v := reflect.ValueOf(n).Elem()
	for i := range v.NumField() {
		if count, ok := v.Field(i).Addr().Interface().(*atomic.Uint64); ok {
			name := v.Type().Field(i).Name
			c["ferry."+strings.ToLower(name[:1])+name[1:]] = count.Load()
		}
	}
	return c
}
