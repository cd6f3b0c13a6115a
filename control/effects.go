package control

import "github.com/mallowbridge/mallowbridge/router"

// effects collects the Output of the current Step. The parts of a node share it.
type effects struct{ out *Output }

func (e *effects) emit(ev router.Event) { e.out.Events = append(e.out.Events, ev) }

func (e *effects) logChange(what ChangeKind, detail string) {
	e.out.Changes = append(e.out.Changes, Change{What: what, Detail: detail})
}

func (e *effects) answer(a Answer) { e.out.Answers = append(e.out.Answers, a) }

func (e *effects) probe(p Probe) { e.out.Probes = append(e.out.Probes, p) }
