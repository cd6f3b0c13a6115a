package quota_test

import (
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/quota"
)

// rule allows 1,100 within a window for a limit of 100 per second and a burst of 200.
var rule = quota.Rule{Window: 8 * time.Second, Overage: 0.1}

var someLimit = map[string]quota.Limit{tenant: {Rate: 100, Burst: 200}}

func ownerOfOneZone(limits map[string]quota.Limit) *quota.Owner {
	o := quota.NewOwner(rule, 0)
	o.SetLimits(0, limits)
	return o
}

// takeAll takes requests of a cost until the owner refuses one. It returns the granted sum and the refusal.
func takeAll(o *quota.Owner, now time.Duration, cost float64) (float64, quota.Grant) {
	var sum float64
	for {
		grant := o.Take(now, tenant, cost)
		if !grant.Granted {
			return sum, grant
		}
		sum += cost
	}
}

// TestOwnerStartsEmpty also checks that the bucket fills up to the burst plus half of what the rule allows beyond a
// plain bucket.
func TestOwnerStartsEmpty(t *testing.T) {
	o := ownerOfOneZone(someLimit)
	if grant := o.Take(0, tenant, 1); grant.Granted {
		t.Error("granted from an empty bucket")
	}
	if got, _ := takeAll(o, time.Second, 1); got < 100 || got > 126 {
		t.Errorf("%g granted after a second", got)
	}
	if got, _ := takeAll(o, time.Hour, 1); got < 225 || got > 251 {
		t.Errorf("%g granted after an hour", got)
	}
}

// TestTenantRestoredByConfigurationStartsEmpty checks that a tenant whose limit is removed and added again starts with
// an empty bucket.
func TestTenantRestoredByConfigurationStartsEmpty(t *testing.T) {
	o := ownerOfOneZone(someLimit)
	if grant := o.Take(time.Hour, tenant, 200); !grant.Granted {
		t.Fatal("not granted")
	}
	o.SetLimits(time.Hour, map[string]quota.Limit{})
	if grant := o.Take(time.Hour, tenant, 1); grant.Granted {
		t.Error("granted without a limit")
	}
	o.SetLimits(time.Hour, someLimit)
	if grant := o.Take(time.Hour, tenant, 1); grant.Granted {
		t.Error("granted at once after the limit was restored")
	}
}

// TestDebtOfCostlyRequestIsRefilledFirst checks that a request that costs more than the bucket contains is granted, and that
// nothing else is granted until its cost has been refilled.
func TestDebtOfCostlyRequestIsRefilledFirst(t *testing.T) {
	o := ownerOfOneZone(map[string]quota.Limit{tenant: {Rate: 100, Burst: 0}})
	if grant := o.Take(time.Second, tenant, 60); !grant.Granted {
		t.Fatal("not granted")
	}
	grant := o.Take(time.Second, tenant, 1)
	if grant.Granted || grant.EmptyFor <= 0 || grant.EmptyFor > 200*time.Millisecond {
		t.Errorf("%+v", grant)
	}
	if again := o.Take(time.Second+grant.EmptyFor+time.Millisecond, tenant, 1); !again.Granted {
		t.Errorf("%+v", again)
	}
	if never := o.Take(time.Hour, tenant, 1000); never.Granted || never.EmptyFor > 0 {
		t.Errorf("%+v", never)
	}
}

// TestLowerLimitTrimsTheBucket checks that a lower limit also removes tokens from a bucket that contains more.
func TestLowerLimitTrimsTheBucket(t *testing.T) {
	o := ownerOfOneZone(someLimit)
	o.Take(time.Hour, tenant, 1)
	o.SetLimits(time.Hour, map[string]quota.Limit{tenant: {Rate: 10, Burst: 20}})
	if got, _ := takeAll(o, time.Hour, 1); got > 26 {
		t.Errorf("%g granted", got)
	}
}

func TestZonesDivideALimitEvenly(t *testing.T) {
	o := ownerOfOneZone(someLimit)
	o.SetZones(0, 4)
	if got, _ := takeAll(o, time.Hour, 1); got > 251.0/4+1 {
		t.Errorf("%g granted", got)
	}
}
