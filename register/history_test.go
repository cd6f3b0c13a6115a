package register

import (
	"testing"

	"github.com/anishathalye/porcupine"
)

// op is the input of an operation in a history for porcupine: a put with an expected version, or a read.
type op struct {
	put    bool
	expect uint64
	body   string
}

// result is the output of an operation in a history.
type result struct {
	unknown, conflict bool
	version           uint64
	body              string
}

// state is the state of the sequential model.
type state struct {
	version uint64
	body    string
}

// model is the sequential model of the register: a put succeeds if its expected version is the current one.
var model = porcupine.Model{
	Init: func() any { return state{} },
	Step: func(s, in, out any) (bool, any) {
		st, o, r := s.(state), in.(op), out.(result)
		changed := state{version: st.version + 1, body: o.body}
		switch {
		case !o.put:
			return r.unknown || (r.version == st.version && r.body == st.body), st
		case r.unknown && st.version == o.expect:
			return true, changed
		case r.unknown:
			return true, st
		case r.conflict:
			return st.version != o.expect && r.version == st.version, st
		}
		return st.version == o.expect && r.version == changed.version, changed
	},
	Equal: func(a, b any) bool { return a == b },
}

func TestCheckerDetectsLostWrite(t *testing.T) {
	ops := []porcupine.Operation{
		{ClientId: 1, Input: op{put: true, body: "x"}, Call: 0, Output: result{version: 1}, Return: 1},
		{ClientId: 2, Input: op{}, Call: 2, Output: result{}, Return: 3},
	}
	if porcupine.CheckOperations(model, ops) {
		t.Error("the checker accepted a history with a lost write")
	}
}

// relevantOperations removes operations that don't constrain the order and only enlarge the checker's search: reads without a result, and
// changes with an unknown outcome whose version another change is known to have made, since a version has only one body.
func relevantOperations(all []porcupine.Operation) []porcupine.Operation {
	bodies := map[uint64]string{}
	for _, o := range all {
		in, out := o.Input.(op), o.Output.(result)
		switch {
		case out.unknown || out.conflict:
		case in.put:
			bodies[out.version] = in.body
		default:
			bodies[out.version] = out.body
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
