package daemon

import (
	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/control"
)

// Documents gives operators' calls the document that the register holds, as it was sent.
type Documents struct{ Daemon *Daemon }

func (d Documents) Edit(id string, edit func(cur []byte) (next []byte, err error)) (body []byte, err error) {
	a := d.Daemon.Call(control.Edit{ID: id, Apply: edit})
	if a.Err != nil {
		return nil, a.Err
	}
	return a.Value.Body, nil
}

func (d Documents) Get() (body []byte, err error) {
	a := d.Daemon.Call(control.Get{})
	if a.Err != nil {
		return nil, a.Err
	}
	return a.Value.Body, nil
}

func (d Documents) Evacuate(id, domain string, restore bool) (err error) {
	return d.Daemon.Call(control.Evacuate{ID: id, Domain: domain, Restore: restore}).Err
}

// OnPicture has see called with each picture that comes into force, by the owner of control state: it must not wait.
func (h *Daemon) OnSnapshot(see func(p *config.Snapshot)) {
	h.Look(func(n *control.Node) {
		h.onSnapshot = see
		if p := n.Picture(); p != nil {
			see(p)
		}
	})
}
