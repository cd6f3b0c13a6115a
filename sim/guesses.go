package sim

import (
	"fmt"
	"time"

	"github.com/mallowbridge/mallowbridge"
	"github.com/mallowbridge/mallowbridge/prefixindex"
)

const guessMost = 2 * time.Second

type guessKey struct {
	front, rep, instance string
	part                 prefixindex.Key
}

func (c *conn) keeper() *Rep {
	if c.place.Prefill != "" {
		return c.f.w.byURL[c.place.Prefill]
	}
	return c.rep
}

func (c *conn) keys() ([]guessKey, []int) {
	parts, _ := prefixindex.Parse(Prompt, c.f.ask.Prefix)
	var tokens []int
	var keys []guessKey
	for _, p := range parts {
		keys, tokens = append(keys, guessKey{front: c.f.n.front, rep: c.keeper().Name, part: p.Key}), append(tokens, p.Tokens)
	}
	return keys, tokens
}

// placed compares what a placement counted on with what its node can have seen: its own commits and their answers.
func (a *Audit) placed(f *flight, c *conn) {
	keys, tokens := c.keys()
	a.counted(f.n, f.ask.Request, c.place, keys, tokens, func(key guessKey) bool { return a.proof(f.n, c.keeper(), key) })
}

func (a *Audit) counted(n *Node, who string, place mallowbridge.Decision, keys []guessKey, tokens []int, proved func(key guessKey) bool) {
	sure, all, certain := 0, 0, true
	for i, key := range keys {
		proof := proved(key)
		if !proof && a.w.now >= a.guesses[key] {
			break
		}
		certain = certain && proof
		all += tokens[i]
		if certain {
			sure += tokens[i]
		}
	}
	if place.Confirmed > sure {
		a.breach(Unproved, who, fmt.Sprintf("%s counted on %d of %d tokens at %s", n.Name, place.Confirmed, sure, place.Replica))
	}
	if counted := place.Confirmed + place.Predicted; counted > all {
		a.breach(StaleGuess, who, fmt.Sprintf("%s counted on %d of %d tokens at %s", n.Name, counted, all, place.Replica))
	}
	_, t := n.router.IndexStats()
	for _, key := range keys {
		a.guesses[key] = max(a.guesses[key], a.w.now+min(t, guessMost))
	}
}

// guessed does the same for a trip, whose replica is one life.
func (t *trip) guessed() {
	a := t.n.w.Audit
	keys, tokens := t.keys()
	a.counted(t.n, t.c.id, t.ex.Placement, keys, tokens, func(key guessKey) bool { return a.proofs[key] })
}

func (t *trip) keys() ([]guessKey, []int) {
	var tokens []int
	var keys []guessKey
	for _, p := range t.c.want.parts {
		keys, tokens = append(keys, guessKey{front: t.n.front, rep: t.ex.Placement.Replica, part: p.Key}), append(tokens, p.Tokens)
	}
	return keys, tokens
}

func (t *trip) confirmed() {
	keys, _ := t.keys()
	for _, key := range keys {
		t.n.w.Audit.proofs[key] = true
	}
}

func (a *Audit) proof(n *Node, r *Rep, key guessKey) bool {
	key.instance = r.m.Instance
	if a.proofs[key] {
		return true
	}
	key.instance = r.before
	return a.proofs[key] && !a.late(n, fact{at: r.since, domain: r.Domain}, leavingWithin)
}

func (a *Audit) proved(c *conn, inst string) {
	if c.place.Prefill != "" {
		inst = c.keeper().m.Instance
	}
	keys, _ := c.keys()
	for _, key := range keys {
		key.instance = inst
		a.proofs[key] = true
	}
}
