package capacity

import "reflect"

// A sizer adds up what values hold on the heap, each block once.
type sizer struct{ seen map[uintptr]bool }

func newSizer() *sizer { return &sizer{seen: map[uintptr]bool{}} }

// DeepSize is what a value and all it holds take, as reckoned by its types: maps are taken at seven eighths of their slots.
func DeepSize(v any) uint64 {
	r := reflect.ValueOf(v)
	return uint64(r.Type().Size()) + newSizer().reachable(r)
}

func (w *sizer) firstSeen(p uintptr) bool {
	if p == 0 || w.seen[p] {
		return false
	}
	w.seen[p] = true
	return true
}

// flat tells that a type holds nothing beyond itself.
func flat(t reflect.Type) bool {
	switch t.Kind() {
	case reflect.Pointer, reflect.Map, reflect.Slice, reflect.String, reflect.Interface, reflect.Chan, reflect.Func, reflect.UnsafePointer:
		return false
	case reflect.Array:
		return flat(t.Elem())
	case reflect.Struct:
		for i := range t.NumField() {
			if !flat(t.Field(i).Type) {
				return false
			}
		}
	}
	return true
}

// allocated is the size that the allocator gives: a sixteenth more at most, beyond the smallest.
func allocated(n uintptr) uint64 {
	switch {
	case n == 0:
		return 0
	case n <= 16:
		return uint64(n+7) &^ 7
	case n <= 256:
		return uint64(n+15) &^ 15
	}
	return uint64(n) + uint64(n)/16
}

// mapHead is the bytes of an empty map, mapGroup its slots.
const (
	mapHead  = 48
	mapGroup = 8
)

// reachable is what a value holds beyond itself.
func (w *sizer) reachable(v reflect.Value) uint64 {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() || !w.firstSeen(v.Pointer()) {
			return 0
		}
		return allocated(v.Type().Elem().Size()) + w.reachable(v.Elem())
	case reflect.Interface:
		return w.interfaceBytes(v)
	case reflect.String:
		return allocated(uintptr(v.Len()))
	case reflect.Slice:
		return w.sliceBytes(v)
	case reflect.Map:
		return w.mapBytes(v)
	case reflect.Struct:
		return w.partsBytes(v, v.NumField(), v.Field)
	case reflect.Array:
		return w.partsBytes(v, v.Len(), v.Index)
	}
	return 0
}

func (w *sizer) interfaceBytes(v reflect.Value) uint64 {
	if v.IsNil() {
		return 0
	}
	e := v.Elem()
	if e.Kind() == reflect.Pointer || e.Kind() == reflect.Map {
		return w.reachable(e)
	}
	return allocated(e.Type().Size()) + w.reachable(e)
}

// partsBytes adds up what the fields of a struct or the items of an array hold.
func (w *sizer) partsBytes(v reflect.Value, n int, part func(i int) reflect.Value) uint64 {
	if flat(v.Type()) {
		return 0
	}
	var bytes uint64
	for i := range n {
		bytes += w.reachable(part(i))
	}
	return bytes
}

func (w *sizer) sliceBytes(v reflect.Value) uint64 {
	if v.IsNil() || v.Cap() == 0 || !w.firstSeen(v.Pointer()) {
		return 0
	}
	bytes := allocated(uintptr(v.Cap()) * v.Type().Elem().Size())
	if flat(v.Type().Elem()) {
		return bytes
	}
	for i := range v.Len() {
		bytes += w.reachable(v.Index(i))
	}
	return bytes
}

func (w *sizer) mapBytes(v reflect.Value) uint64 {
	if v.IsNil() || !w.firstSeen(v.Pointer()) {
		return 0
	}
	slots := uint64(mapGroup)
	for slots*7/8 < uint64(v.Len()) {
		slots *= 2
	}
	entry := uint64(v.Type().Key().Size() + v.Type().Elem().Size())
	bytes := mapHead + slots*(entry+1)
	keys, vals := !flat(v.Type().Key()), !flat(v.Type().Elem())
	for it := v.MapRange(); (keys || vals) && it.Next(); {
		if keys {
			bytes += w.reachable(it.Key())
		}
		if vals {
			bytes += w.reachable(it.Value())
		}
	}
	return bytes
}
