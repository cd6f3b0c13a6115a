package daemon

import (
	"context"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/control"
)

// OperatorControl gives operators' calls the document that the register holds, as it was sent. Each call ends within its caller's timeout, and
// an order has no effect after it.
type OperatorControl struct{ Daemon *Daemon }

// Edit changes the document of the revision base; size is the length of the order's body. See control.Edit.
func (d OperatorControl) Edit(ctx context.Context, id string, base uint64, size int, edit func(cur []byte) ([]byte, error)) ([]byte, error) {
	a := d.order(ctx, size, control.Edit{ID: id, BaseVersion: base, Apply: edit})
	if a.Err != nil {
		return nil, a.Err
	}
	return a.Value.Document, nil
}

// Get reads the document from a majority: what this node knows by itself may be old.
func (d OperatorControl) Get(ctx context.Context) ([]byte, error) {
	a := d.Daemon.CallWithDeadline(ctx, d.Daemon.PauseGuard.ReadDeadline(), control.Get{})
	if a.Err != nil {
		return nil, a.Err
	}
	return a.Value.Document, nil
}

// Evacuate empties a zone.
func (d OperatorControl) Evacuate(ctx context.Context, id, zone string) error {
	return d.changeZone(ctx, control.Evacuate{ID: id, Zone: zone})
}

// Restore takes the evacuation of a zone back.
func (d OperatorControl) Restore(ctx context.Context, id, zone string) error {
	return d.changeZone(ctx, control.Evacuate{ID: id, Zone: zone, Restore: true})
}

func (d OperatorControl) changeZone(ctx context.Context, op control.Evacuate) error {
	a := d.order(ctx, 0, op)
	d.Daemon.Log.Info().Str("zone", op.Zone).Bool("restore", op.Restore).Uint64("version", a.Version).Err(a.Err).Msg("evacuation")
	return a.Err
}

// order runs an order with a body of size bytes, which came with the request of ctx.
func (d OperatorControl) order(ctx context.Context, size int, op control.Op) control.Answer {
	deadline, err := d.Daemon.PauseGuard.Admit(ctx, size)
	if err == nil {
		err = d.Daemon.confirmCaller(ctx, op)
	}
	if err != nil {
		return control.Answer{Err: err}
	}
	return d.Daemon.CallWithDeadline(ctx, deadline, op)
}

// OnSnapshot has see called with each snapshot that comes into force, by the owner of control state: it must not wait.
func (h *Daemon) OnSnapshot(see func(p *config.Snapshot)) {
	h.Inspect(func(n *control.Node) {
		h.onSnapshot = see
		if p := n.Snapshot(); p != nil {
			see(p)
		}
	})
}
