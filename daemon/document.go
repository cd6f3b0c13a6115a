package daemon

import (
	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/control"
)

// Documents gives operators' calls the document that the register holds, as it was sent.
type Documents struct{ H *Hearth }

func (d Documents) Edit(id string, edit func(cur []byte) (next []byte, err error)) (body []byte, err error) {
	a := d.H.Call(control.Edit{ID: id, Apply: edit})
	if a.Err != nil {
		return nil, a.Err
	}
	return a.Value.Body, nil
}

func (d Documents) Get() (body []byte, err error) {
	a := d.H.Call(control.Get{})
	if a.Err != nil {
		return nil, a.Err
	}
	return a.Value.Body, nil
}

func (d Documents) Empty(id, domain string, restore bool) (err error) {
	return d.H.Call(control.Empty{ID: id, Domain: domain, Restore: restore}).Err
}

// OnPicture has see called with each picture that comes into force, by the owner of control state: it must not wait.
func (h *Hearth) OnPicture(see func(p *config.Picture)) {
	h.Look(func(n *control.Node) {
		h.see = see
		if p := n.Picture(); p != nil {
			see(p)
		}
	})
}
