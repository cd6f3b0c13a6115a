package stage

import (
	"fmt"
	"time"

	"github.com/mallowbridge/mallowbridge/hint"
)

const guessMost = 2 * time.Second

type guessKey struct {
	front, rep, instance string
	part                 hint.Key
}

func (c *conn) keeper() (r *Rep) {
	if c.place.Prefill != "" {
		return c.f.w.byURL[c.place.Prefill]
	}
	return c.rep
}

func (c *conn) keys() (keys []guessKey, tokens []int) {
	parts, _ := hint.Parse(Prompt, c.f.ask.Prefix)
	for _, p := range parts {
		keys, tokens = append(keys, guessKey{front: c.f.n.front, rep: c.keeper().Name, part: p.Key}), append(tokens, p.Tokens)
	}
	return keys, tokens
}

// placed compares what a placement counted on with what its node can have seen: its own commits and their answers.
func (a *Audit) placed(f *flight, c *conn) {
	sure, all, certain := 0, 0, true
	keys, tokens := c.keys()
	for i, key := range keys {
		proof := a.proof(f.n, c.keeper(), key)
		if !proof && a.w.now >= a.guesses[key] {
			break
		}
		certain = certain && proof
		all += tokens[i]
		if certain {
			sure += tokens[i]
		}
	}
	counted := c.place.Confirmed + c.place.Predicted
	if c.place.Confirmed > sure {
		a.breach(Unproved, f.ask.Request, fmt.Sprintf("%s counted on %d of %d tokens at %s", f.n.Name, c.place.Confirmed, sure, c.keeper().Name))
	}
	if counted > all {
		a.breach(StaleGuess, f.ask.Request, fmt.Sprintf("%s counted on %d of %d tokens at %s", f.n.Name, counted, all, c.keeper().Name))
	}
	_, t := f.n.router.Hints()
	for _, key := range keys {
		a.guesses[key] = max(a.guesses[key], a.w.now+min(t, guessMost))
	}
}

func (a *Audit) proof(n *Node, r *Rep, key guessKey) (yes bool) {
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
