package quota_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/quota"
)

// zoneOwners maps addresses to the owners of a limit's shares.
type zoneOwners map[string]*quota.Owner

// fullOwners returns owners with full buckets, one in each zone, and their addresses.
func fullOwners(rule quota.Rule, limit quota.Limit, zones int) (zoneOwners, []string) {
	all, names := zoneOwners{}, []string{}
	for i := range zones {
		name := fmt.Sprint("z", i)
		o := quota.NewOwner(rule, -time.Minute)
		o.SetZones(-time.Minute, zones)
		o.SetLimits(-time.Minute, map[string]quota.Limit{tenant: limit})
		o.Take(-time.Minute, tenant, 0)
		all[name], names = o, append(names, name)
	}
	return all, names
}

// answer delivers grant requests to their owners and the responses back until there are none left.
func (z zoneOwners) answer(now time.Duration, r *quota.Requester) {
	for requests := r.TakeGrantRequests(); len(requests) > 0; requests = r.TakeGrantRequests() {
		for _, a := range requests {
			r.HandleResponse(now, a.To, quota.GrantResponse{ID: a.ID, Grant: z[a.To].Take(now, a.Tenant, a.Cost)})
		}
	}
}

// onlyOutcome returns the only outcome and fails the test if there is not exactly one.
func onlyOutcome(t *testing.T, r *quota.Requester) quota.Outcome {
	t.Helper()
	all := r.TakeOutcomes()
	if len(all) != 1 {
		t.Fatalf("outcomes %+v, want one", all)
	}
	return all[0]
}

var requesterLimit = quota.Limit{Rate: 1000, Burst: 1000}

// TestRequestOfTheWholeBurstIsGranted guards against a large request that is never granted because a zone's share is
// smaller.
func TestRequestOfTheWholeBurstIsGranted(t *testing.T) {
	for _, zones := range []int{1, 3, 8} {
		owners, names := fullOwners(quota.DefaultRule(), requesterLimit, zones)
		r := quota.NewRequester(1)
		r.Request(0, quota.Request{ID: 1, Tenant: tenant, Cost: requesterLimit.Burst}, names)
		owners.answer(0, r)
		if o := onlyOutcome(t, r); !o.Granted || o.Until != quota.GrantLifetime {
			t.Errorf("%d zones: %+v", zones, o)
		}
		r.Request(0, quota.Request{ID: 2, Tenant: tenant, Cost: requesterLimit.Burst}, names)
		owners.answer(0, r)
		if o := onlyOutcome(t, r); o.Granted {
			t.Errorf("%d zones: the burst was granted twice", zones)
		}
	}
}

// TestLateGrantServesTheNextRequest guards against losing tokens whose grant arrives after its request has ended. An
// expired grant must not be used.
func TestLateGrantServesTheNextRequest(t *testing.T) {
	for _, c := range []struct {
		late, asked time.Duration
		reused      bool
	}{{300 * time.Millisecond, 400 * time.Millisecond, true}, {300 * time.Millisecond, 501 * time.Millisecond, false}, {501 * time.Millisecond, 502 * time.Millisecond, false}} {
		r := quota.NewRequester(1)
		r.Request(0, quota.Request{ID: 1, Tenant: tenant, Cost: 10}, []string{"a", "b"})
		first := r.TakeGrantRequests()[0]
		r.Tick(250 * time.Millisecond)
		second := r.TakeGrantRequests()[0]
		r.HandleResponse(260*time.Millisecond, second.To, quota.GrantResponse{ID: second.ID, Grant: quota.Grant{Granted: true}})
		if o := onlyOutcome(t, r); !o.Granted || o.Until != 250*time.Millisecond+quota.GrantLifetime {
			t.Fatalf("%+v", o)
		}
		r.HandleResponse(c.late, first.To, quota.GrantResponse{ID: first.ID, Grant: quota.Grant{Granted: true}})
		r.Tick(c.asked)
		r.Request(c.asked, quota.Request{ID: 2, Tenant: tenant, Cost: 10}, []string{"a", "b"})
		requests, outcomes := r.TakeGrantRequests(), r.TakeOutcomes()
		reused := len(requests) == 0 && len(outcomes) == 1 && outcomes[0].Granted && outcomes[0].Until == quota.GrantLifetime
		if reused != c.reused {
			t.Errorf("grant arrives after %s, request made after %s: %+v, %+v", c.late, c.asked, requests, outcomes)
		}
	}
}

// TestTimeoutFollowsRoundTrips checks that the next owner is not asked while an owner that always takes 0.3 s may still
// respond, but is asked if the owner usually responds faster.
func TestTimeoutFollowsRoundTrips(t *testing.T) {
	for _, roundTrip := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond} {
		r, now := quota.NewRequester(1), time.Duration(0)
		for id := range uint64(20) {
			r.Request(now, quota.Request{ID: id, Tenant: tenant, Cost: 1}, []string{"a"})
			request := r.TakeGrantRequests()[0]
			now += roundTrip
			r.HandleResponse(now, "a", quota.GrantResponse{ID: request.ID, Grant: quota.Grant{Granted: true}})
			r.Tick(now + quota.GrantLifetime)
			now += 2 * quota.GrantLifetime
		}
		r.TakeOutcomes()
		r.Request(now, quota.Request{ID: 99, Tenant: tenant, Cost: 1}, []string{"a", "b"})
		r.TakeGrantRequests()
		r.Tick(now + 250*time.Millisecond)
		if asked := len(r.TakeGrantRequests()) > 0; asked != (roundTrip < 200*time.Millisecond) {
			t.Errorf("round trips of %s: the next owner was asked after 0.25 s: %v", roundTrip, asked)
		}
	}
}

// TestForeignResponsesAreIgnored checks that a response from another node, or a repeated one, grants nothing.
func TestForeignResponsesAreIgnored(t *testing.T) {
	r := quota.NewRequester(1)
	r.Request(0, quota.Request{ID: 1, Tenant: tenant, Cost: 10}, []string{"a"})
	request := r.TakeGrantRequests()[0]
	granted := quota.GrantResponse{ID: request.ID, Grant: quota.Grant{Granted: true}}
	r.HandleResponse(0, "b", granted)
	if all := r.TakeOutcomes(); len(all) > 0 {
		t.Fatalf("%+v", all)
	}
	r.HandleResponse(0, "a", granted)
	r.HandleResponse(0, "a", granted)
	onlyOutcome(t, r)
	r.Request(0, quota.Request{ID: 2, Tenant: tenant, Cost: 10}, []string{"a"})
	if all := r.TakeOutcomes(); len(all) > 0 {
		t.Errorf("a grant was used twice: %+v", all)
	}
}

// TestDamagedNumbersGrantNothing covers costs and remainders from other nodes that are not valid numbers of tokens.
func TestDamagedNumbersGrantNothing(t *testing.T) {
	for _, damaged := range []float64{-1, math.NaN(), math.Inf(1)} {
		owners, names := fullOwners(quota.DefaultRule(), requesterLimit, 2)
		if g := owners[names[0]].Take(0, tenant, damaged); g.Granted || g.Remaining > 0 {
			t.Errorf("cost %g: %+v", damaged, g)
		}
		r := quota.NewRequester(1)
		r.Request(0, quota.Request{ID: 1, Tenant: tenant, Cost: 10}, names)
		for range names {
			for _, a := range r.TakeGrantRequests() {
				r.HandleResponse(0, a.To, quota.GrantResponse{ID: a.ID, Grant: quota.Grant{Remaining: damaged, RetryAfter: time.Second}})
			}
		}
		if o := onlyOutcome(t, r); o.Granted || len(r.TakeGrantRequests()) > 0 {
			t.Errorf("remaining %g: %+v", damaged, o)
		}
	}
}
