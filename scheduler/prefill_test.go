package scheduler

import (
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

func batching(t *testing.T) (m *Market) {
	t.Helper()
	m = queueing(128, stream)
	o := &m.Offers[0]
	m.Reps[1].Near, o.CrossCost = true, 0
	o.Base, o.PerToken = 30*ms, 10*time.Microsecond
	o.Batch(true)
	return m
}

func prompt(t *testing.T, m *Market, at time.Duration, a Ask) (id int, p Act) {
	t.Helper()
	id = m.Arrive(at, a)
	p = only(t, m.Tick(at), Place)
	m.Leave(at, id, p.Go)
	only(t, m.Tick(at), Send)
	return id, p
}

func TestShortPromptsHaveTheSmallerRank(t *testing.T) {
	m := batching(t)
	last := -1
	for _, tokens := range []int{500, 1000, 2000, 4000, 8000, 16000, 32000, 64000} {
		if _, p := prompt(t, m, now, Ask{Tail: tokens}); p.Rank <= last || p.Rank > 9 {
			t.Errorf("%d tokens have rank %d after %d", tokens, p.Rank, last)
		} else {
			last = p.Rank
		}
	}
	if _, p := prompt(t, queueing(8, stream), now, Ask{Tail: 9000}); p.Rank != -1 {
		t.Errorf("rank %d where nothing is read", p.Rank)
	}
}

func TestPromptsKeepAwayFromReplicasThatRead(t *testing.T) {
	m := batching(t)
	long, p := prompt(t, m, now, Ask{Tail: 40000})
	for range 3 {
		if _, q := prompt(t, m, now, Ask{Tail: 1000}); q.Rep == p.Rep {
			t.Error("a short prompt waits behind a long one")
		}
	}
	_, q := prompt(t, m, now+ms, Ask{Tail: 20000})
	if q.Rep == p.Rep {
		t.Error("two long prompts at one replica")
	}
	m.Head(now+2*ms, long, p.Go)
	if _, q = prompt(t, m, now+2*ms, Ask{Tail: 20000}); q.Rep != p.Rep {
		t.Error("a prompt that was read still counts")
	}
}

func TestReadPromptsStopCountingByThemselves(t *testing.T) {
	m := batching(t)
	r := &m.Reps[0]
	r.prefills.add(now, 10000, prefill{tokens: 10000, rank: 4})
	r.prefills.add(now, 10000, prefill{attempt: 1, tokens: 10000, rank: 4})
	r.prefills.add(now, 10000, prefill{attempt: 2, tokens: 1000, rank: 1})
	if n := r.prefills.unread(); n != 21000 {
		t.Errorf("%v tokens before a short prompt", n)
	}
	r.prefills.drain(now+60*ms, 10000)
	if n := r.prefills.unread(); n != 15000 {
		t.Errorf("%v tokens after 60 ms", n)
	}
	r.prefills.drain(now+time.Second, 10000)
	if len(r.prefills.queue) != 2 {
		t.Errorf("%+v: attempts of this node stay until their first event, others do not", r.prefills.queue)
	}
}

func TestPaceIsLearnedFromFirstEvents(t *testing.T) {
	m := batching(t)
	at := now
	for range 200 {
		at += time.Second
		m.Feed(at, "")
		id, p := prompt(t, m, at, Ask{Tail: 5000})
		m.Head(at+130*ms, id, p.Go)
		m.Finish(at+140*ms, id, p.Go, Whole)
		m.Tick(at + 140*ms)
	}
	a := Ask{Tail: 5000, Due: at + time.Second}
	if est := m.est(at+time.Second, &a, 0, 0, 0); est < 115*ms || est > 145*ms {
		t.Errorf("estimate %v for what takes 130 ms", est)
	}
}

func TestSharedPartsAreReadOnceUnlessTheWaitIsLong(t *testing.T) {
	m := batching(t)
	parts := []prefixindex.Part{{Key: 1, Tokens: 500}, {Key: 2, Tokens: 5000}, {Key: 3, Tokens: 100}}
	a := Ask{Parts: parts}
	home := m.home(&a, &m.Offers[0])
	m.Reps[home].Near = false
	if _, p := prompt(t, m, now, a); p.Rep != home {
		t.Error("away from home")
	}
	m.Reps[home].prefills.add(now, 10000, prefill{tokens: 30000, rank: 0})
	if _, p := prompt(t, m, now, a); p.Rep != home {
		t.Error("shared parts are read again for a short wait")
	}
	m.Reps[home].prefills.add(now, 10000, prefill{tokens: 120000, rank: 0})
	if _, p := prompt(t, m, now, a); p.Rep == home {
		t.Error("the first event is late for shared parts")
	}
}

func TestNearReplicasGoFirstAtEqualLoad(t *testing.T) {
	m := queueing(6, stream)
	m.Reps[0].Near = false
	m.Reps[1].Near, m.Offers[0].CrossCost = true, 0
	_, p := start(t, m, now)
	_, q := start(t, m, now)
	if p.Rep != 1 || q.Rep != 0 {
		t.Errorf("placed at %d and %d", p.Rep, q.Rep)
	}
}

func TestPromptsFromOtherRoutersCount(t *testing.T) {
	m := batching(t)
	m.Elsewhere(now, 0, 40000)
	for _, tokens := range []int{1000, 6000} {
		_, p := prompt(t, m, now, Ask{Tail: tokens})
		if p.Rep != 1 {
			t.Errorf("%d tokens behind another router's long prompt", tokens)
		}
		if told := p.Unread > 0; told != (tokens > 4000) {
			t.Errorf("%d tokens, others are told %d", tokens, p.Unread)
		}
	}
	if _, p := prompt(t, queueing(8, stream), now, Ask{Tail: 9000}); p.Unread != 0 {
		t.Error("told where replicas do not batch")
	}
}

func TestAnAnswerAsSlowAsAMissDropsThePartsCountedOn(t *testing.T) {
	m := batching(t)
	m.Index.SetKeep(0, 100000)
	m.Index.SetKeep(1, 100000)
	parts := []prefixindex.Part{{Key: 1, Tokens: 9000}, {Key: 2, Tokens: 50}}
	at, rep := now, 0
	for i, took := range []time.Duration{130 * ms, 130 * ms, 32 * ms} {
		id, p := prompt(t, m, at, Ask{Parts: parts})
		if hit := p.Conf > 0; hit != (i == 1) {
			t.Errorf("request %d counts on %d tokens", i, p.Conf)
		}
		rep = p.Rep
		m.Head(at+took, id, p.Go)
		m.Finish(at+took, id, p.Go, Whole)
		m.Tick(at + took)
		at += 200 * ms
	}
	if conf, _ := m.Index.Look(at, rep, parts); conf != 9050 || m.Index.Inferred != 1 {
		t.Errorf("%d tokens held, %d evictions inferred", conf, m.Index.Inferred)
	}
}

func TestLargeFleetsTellOfLongerPromptsOnly(t *testing.T) {
	m := batching(t)
	var rs []RouterRow
	for _, name := range []string{"n1", "n2"} {
		rs = append(rs, RouterRow{name, "a"})
	}
	for len(rs) < 88 {
		rs = append(rs, RouterRow{"o", "a"})
	}
	m.SetRouters(now, rs)
	for _, tokens := range []int{8000, 16000} {
		if _, p := prompt(t, m, now, Ask{Tail: tokens}); (p.Unread > 0) != (tokens == 16000) {
			t.Errorf("%d tokens, others are told %d", tokens, p.Unread)
		}
	}
}
