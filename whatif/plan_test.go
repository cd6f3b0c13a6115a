package whatif

import (
	"errors"
	"testing"

	"github.com/mallowbridge/mallowbridge/config"
)

func TestSitePlan(t *testing.T) {
	p, err := Read("p", []byte(`{"shape":"atlas site","seeds":1,"seconds":20,"load":{"rate":40},"breakdowns":[{"atMs":15000,"kind":"replica crash","on":["logbook"]}]}`))
	if err != nil {
		t.Fatal(err)
	}
	r, err := p.Run()
	if err != nil || len(r.Breaches) > 0 {
		t.Fatal(err, r.Breaches)
	}
	if asked := r.Values["award asked"][0]; asked < 300 || asked > 600 {
		t.Errorf("%g of one class were asked in 20 s at 40 a second", asked)
	}
	for _, name := range []string{"award served %", "lookup served %", "reconcile served %"} {
		if got := r.Values[name][0]; got < 95 {
			t.Errorf("%s: %g", name, got)
		}
	}
}

func TestViolationsOfASitePlan(t *testing.T) {
	_, err := Read("p", []byte(`{"shape":"atlas site","times":2,"config":"x","breakdowns":[{"kind":"replica twists","on":["r1"]}]}`))
	var bad *config.InvalidError
	if !errors.As(err, &bad) || len(bad.Violations) != 4 {
		t.Fatal(err)
	}
}
