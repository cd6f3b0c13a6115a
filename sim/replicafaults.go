package sim

import "time"

func (w *World) breakReplicas(f Fault) {
	for _, name := range f.On {
		w.replicasByName[name].applyFault(f)
	}
}

// applyFault starts a fault of the replica and schedules its end.
func (r *FleetReplica) applyFault(f Fault) {
	w := r.w
	restart := func() { r.start(w.Now) }
	switch f.Kind {
	case ReplicaFailing:
		r.Failing = true
		w.After(f.For, func() { r.Failing = false })
	case ReplicaCorrupt:
		r.CorruptOneIn = 40
		w.After(f.For, func() { r.CorruptOneIn = 0 })
	case ReplicaUnreachable:
		r.Unreachable = true
		w.After(f.For, func() {
			r.Unreachable = false
			r.crash()
			w.After(2*time.Second, restart)
		})
	case ReplicaRestart:
		r.crash()
		w.After(30*time.Millisecond, restart)
	default:
		r.crash()
		if f.For >= 0 {
			w.After(f.For, restart)
		}
	}
}
