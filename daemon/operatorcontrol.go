package daemon

import (
	"context"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/control"
)

// OperatorControl implements platform.Control, which serves the platform's operator requests. It works on the operators' document in the
// register, in the form in which they sent it. Each call returns within the timeout that clients of the platform use, and a change has no
// effect after that.
type OperatorControl struct{ Daemon *Daemon }

// Edit changes the document of revision base and returns the changed document. size is the length of the request's body in bytes. See
// control.Edit.
func (c OperatorControl) Edit(ctx context.Context, id string, base uint64, size int, edit func(cur []byte) ([]byte, error)) ([]byte, error) {
	a := c.run(ctx, size, control.Edit{ID: id, BaseRevision: base, Apply: edit})
	if a.Err != nil {
		return nil, a.Err
	}
	return a.Value.Document, nil
}

// Get reads the document from a majority of the voters, because this node's own copy may be outdated.
func (c OperatorControl) Get(ctx context.Context) ([]byte, error) {
	a := c.Daemon.CallWithDeadline(ctx, c.Daemon.PauseGuard.ReadDeadline(), control.Get{})
	if a.Err != nil {
		return nil, a.Err
	}
	return a.Value.Document, nil
}

// Evacuate stops all traffic to the replicas of a zone.
func (c OperatorControl) Evacuate(ctx context.Context, id, zone string) error {
	return c.changeZone(ctx, control.Evacuate{ID: id, Zone: zone})
}

// Restore ends the evacuation of a zone.
func (c OperatorControl) Restore(ctx context.Context, id, zone string) error {
	return c.changeZone(ctx, control.Evacuate{ID: id, Zone: zone, Restore: true})
}

func (c OperatorControl) changeZone(ctx context.Context, op control.Evacuate) error {
	a := c.run(ctx, 0, op)
	c.Daemon.Log.Info().Str("zone", op.Zone).Bool("restore", op.Restore).Uint64("version", a.Version).Err(a.Err).Msg("evacuation")
	return a.Err
}

// run runs an operator request that arrived with the HTTP request of ctx and whose body had size bytes.
func (c OperatorControl) run(ctx context.Context, size int, op control.Op) control.Answer {
	deadline, err := c.Daemon.PauseGuard.Admit(ctx, size)
	if err == nil {
		err = c.Daemon.checkClientConnected(ctx, op)
	}
	if err != nil {
		return control.Answer{Err: err}
	}
	return c.Daemon.CallWithDeadline(ctx, deadline, op)
}

// OnSnapshot calls notify with the current snapshot, if there is one, and with each later one. notify is called by the control loop and must not
// block.
func (d *Daemon) OnSnapshot(notify func(p *config.Snapshot)) {
	d.Inspect(func(n *control.Node) {
		d.onSnapshot = notify
		if p := n.Snapshot(); p != nil {
			notify(p)
		}
	})
}
