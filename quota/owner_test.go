package quota_test

import (
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/quota"
)

// rule allows 1,100 in a window of a limit of 100 a second and 200 on top.
var rule = quota.Rule{Window: 8 * time.Second, Overage: 0.1}

var someLimit = map[string]quota.Limit{tenant: {Rate: 100, Burst: 200}}

func ownerOfOneZone(limits map[string]quota.Limit) *quota.Owner {
	o := quota.NewOwner(rule, 0)
	o.SetLimits(0, limits)
	return o
}

// takeAll takes requests of a cost until the owner refuses, and gives their sum and the refusal.
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

// TestOwnerBeginsEmpty, and fills up to the burst and half of what the rule allows beyond a bucket.
func TestOwnerBeginsEmpty(t *testing.T) {
	o := ownerOfOneZone(someLimit)
	if grant := o.Take(0, tenant, 1); grant.Granted {
		t.Error("granted at the start")
	}
	if got, _ := takeAll(o, time.Second, 1); got < 100 || got > 126 {
		t.Errorf("%g granted after a second", got)
	}
	if got, _ := takeAll(o, time.Hour, 1); got < 225 || got > 251 {
		t.Errorf("%g granted after an hour", got)
	}
}

// TestTenantLeftOutByOneConfigurationBeginsEmpty when the next one brings it back.
func TestTenantLeftOutByOneConfigurationBeginsEmpty(t *testing.T) {
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
		t.Error("granted as if nothing had been")
	}
}

// TestCostlyRequestIsPaidBack: one that costs more than the bucket holds is granted, and nothing else until its cost has come in.
func TestCostlyRequestIsPaidBack(t *testing.T) {
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

// TestLowerLimitTakesWhatTheBucketHolds beyond it.
func TestLowerLimitTakesWhatTheBucketHolds(t *testing.T) {
	o := ownerOfOneZone(someLimit)
	o.Take(time.Hour, tenant, 1)
	o.SetLimits(time.Hour, map[string]quota.Limit{tenant: {Rate: 10, Burst: 20}})
	if got, _ := takeAll(o, time.Hour, 1); got > 26 {
		t.Errorf("%g granted", got)
	}
}

// TestZonesDivideALimit evenly.
func TestZonesDivideALimit(t *testing.T) {
	o := ownerOfOneZone(someLimit)
	o.SetZones(0, 4)
	if got, _ := takeAll(o, time.Hour, 1); got > 251.0/4+1 {
		t.Errorf("%g granted", got)
	}
}
