package capacity

import "reflect"

// sizer sums the heap memory that values reference and counts each heap block once. seen contains the addresses of the counted blocks.
type sizer struct{ seen map[uintptr]bool }

func newSizer() *sizer { return &sizer{seen: map[uintptr]bool{}} }

// DeepSize estimates the bytes of a value and of everything that it references, from the sizes of the types. Maps are assumed to double when
// seven eighths of their slots are full.
func DeepSize(v any) uint64 {
	r := reflect.ValueOf(v)
	return uint64(r.Type().Size()) + newSizer().reachableBytes(r)
}

// firstSeen marks a block as counted and reports whether it was not counted before.
func (s *sizer) firstSeen(p uintptr) bool {
	if p == 0 || s.seen[p] {
		return false
	}
	s.seen[p] = true
	return true
}

// hasNoReferences reports whether values of a type reference no other memory.
func hasNoReferences(t reflect.Type) bool {
	switch t.Kind() {
	case reflect.Pointer, reflect.Map, reflect.Slice, reflect.String, reflect.Interface, reflect.Chan, reflect.Func, reflect.UnsafePointer:
		return false
	case reflect.Array:
		return hasNoReferences(t.Elem())
	case reflect.Struct:
		for i := range t.NumField() {
			if !hasNoReferences(t.Field(i).Type) {
				return false
			}
		}
	}
	return true
}

// allocatedBytes estimates the size of the block that the allocator returns for n bytes: rounded up to a multiple of 8 bytes up to 16, to a
// multiple of 16 up to 256, and a sixteenth more beyond.
func allocatedBytes(n uintptr) uint64 {
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

// emptyMapBytes is the size of an empty map in bytes, minMapSlots its number of slots.
const (
	emptyMapBytes = 48
	minMapSlots   = 8
)

// reachableBytes returns the bytes that a value references, without the value itself.
func (s *sizer) reachableBytes(v reflect.Value) uint64 {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() || !s.firstSeen(v.Pointer()) {
			return 0
		}
		return allocatedBytes(v.Type().Elem().Size()) + s.reachableBytes(v.Elem())
	case reflect.Interface:
		return s.interfaceBytes(v)
	case reflect.String:
		return allocatedBytes(uintptr(v.Len()))
	case reflect.Slice:
		return s.sliceBytes(v)
	case reflect.Map:
		return s.mapBytes(v)
	case reflect.Struct:
		return s.elementsBytes(v, v.NumField(), v.Field)
	case reflect.Array:
		return s.elementsBytes(v, v.Len(), v.Index)
	}
	return 0
}

func (s *sizer) interfaceBytes(v reflect.Value) uint64 {
	if v.IsNil() {
		return 0
	}
	e := v.Elem()
	if e.Kind() == reflect.Pointer || e.Kind() == reflect.Map {
		return s.reachableBytes(e)
	}
	return allocatedBytes(e.Type().Size()) + s.reachableBytes(e)
}

// elementsBytes returns the bytes that the fields of a struct or the elements of an array reference.
func (s *sizer) elementsBytes(v reflect.Value, n int, element func(i int) reflect.Value) uint64 {
	if hasNoReferences(v.Type()) {
		return 0
	}
	var bytes uint64
	for i := range n {
		bytes += s.reachableBytes(element(i))
	}
	return bytes
}

func (s *sizer) sliceBytes(v reflect.Value) uint64 {
	if v.IsNil() || v.Cap() == 0 || !s.firstSeen(v.Pointer()) {
		return 0
	}
	bytes := allocatedBytes(uintptr(v.Cap()) * v.Type().Elem().Size())
	if hasNoReferences(v.Type().Elem()) {
		return bytes
	}
	for i := range v.Len() {
		bytes += s.reachableBytes(v.Index(i))
	}
	return bytes
}

func (s *sizer) mapBytes(v reflect.Value) uint64 {
	if v.IsNil() || !s.firstSeen(v.Pointer()) {
		return 0
	}
	slots := uint64(minMapSlots)
	for slots*7/8 < uint64(v.Len()) {
		slots *= 2
	}
	entry := uint64(v.Type().Key().Size() + v.Type().Elem().Size())
	bytes := emptyMapBytes + slots*(entry+1)
	keys, vals := !hasNoReferences(v.Type().Key()), !hasNoReferences(v.Type().Elem())
	for it := v.MapRange(); (keys || vals) && it.Next(); {
		if keys {
			bytes += s.reachableBytes(it.Key())
		}
		if vals {
			bytes += s.reachableBytes(it.Value())
		}
	}
	return bytes
}
