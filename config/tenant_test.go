package config

import (
	"slices"
	"testing"
)

// Programs that follow a node know no tenants, so they must not get routes that only tenants may use.
func TestEncodedSnapshotOmitsRoutesThatNeedAKey(t *testing.T) {
	s := &Snapshot{Version: 3, Config: Config{Routes: []Route{{Name: "keyed"}, {Name: "open", Public: true}}}}
	names := func(s *Snapshot) []string {
		var all []string
		for _, r := range s.Config.Routes {
			all = append(all, r.Name)
		}
		return all
	}
	if got := names(EncodeSnapshot(s).Decode()); !slices.Equal(got, []string{"keyed", "open"}) {
		t.Errorf("without tenants, the encoded routes are %v", got)
	}
	s.Config.Tenants = []Tenant{{Name: "a"}}
	if got := names(EncodeSnapshot(s).Decode()); !slices.Equal(got, []string{"open"}) {
		t.Errorf("with tenants, the encoded routes are %v", got)
	}
	if got := names(s); len(got) != 2 {
		t.Errorf("the snapshot itself was changed: its routes are %v", got)
	}
}

func TestPriorityOfTenants(t *testing.T) {
	route := &Route{Priority: 4}
	for _, c := range []struct {
		tenant *Tenant
		want   int
	}{{nil, 4}, {&Tenant{}, 4}, {&Tenant{Priority: 0, HasPriority: true}, 0}, {&Tenant{Priority: 7, HasPriority: true}, 7}} {
		if got := c.tenant.PriorityOf(route); got != c.want {
			t.Errorf("%+v: %d, want %d", c.tenant, got, c.want)
		}
	}
}
