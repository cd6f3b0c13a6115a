package register

import "github.com/anishathalye/porcupine"

// telling leaves out what constrains no order and only widens the search: reads that were never answered, and unclear changes
// whose version is known to be another's, for each version has one body.
func telling(all []porcupine.Operation) []porcupine.Operation {
	bodies := map[uint64]string{}
	for _, o := range all {
		in, out := o.Input.(op), o.Output.(result)
		switch {
		case out.unknown || out.conflict:
		case in.put:
			bodies[out.mark] = in.body
		default:
			bodies[out.mark] = out.body
		}
	}
	var ops []porcupine.Operation
	for _, o := range all {
		in, out := o.Input.(op), o.Output.(result)
		body, known := bodies[in.expect+1]
		if out.unknown && (!in.put || (known && body != in.body)) {
			continue
		}
		ops = append(ops, o)
	}
	return ops
}
