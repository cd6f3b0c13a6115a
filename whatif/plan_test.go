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
		t.Errorf("got %g requests of one class in 20 s at 40 requests per second, want 300 to 600", asked)
	}
	for _, name := range []string{"award served %", "lookup served %", "reconcile served %"} {
		if got := r.Values[name][0]; got < 95 {
			t.Errorf("%s: got %g, want at least 95", name, got)
		}
	}
}

func TestSitePlanViolations(t *testing.T) {
	_, err := Read("p", []byte(`{"shape":"atlas site","times":2,"config":"x","breakdowns":[{"kind":"replica twists","on":["r1"]}]}`))
	var invalid *config.InvalidError
	if !errors.As(err, &invalid) || len(invalid.Violations) != 4 {
		t.Fatal(err)
	}
}
