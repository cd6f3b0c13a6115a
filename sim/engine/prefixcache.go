package engine

import (
	"container/list"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

// A prefixCache holds read parts of prompts; the least recently used give way first.
type prefixCache struct {
	kept   map[prefixindex.Key]*list.Element
	order  *list.List
	tokens int
}

func newPrefixCache() prefixCache {
	return prefixCache{kept: map[prefixindex.Key]*list.Element{}, order: list.New()}
}

// hit tells how many tokens need not be read: those of the first parts, up to the first one that is not held.
func (c *prefixCache) hit(parts []prefixindex.Block) int {
	var tokens int
	for _, p := range parts {
		if c.kept[p.Key] == nil {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// keep holds all parts, the first as the most recent one, and tells how many tokens came anew.
func (c *prefixCache) keep(parts []prefixindex.Block) int {
	var added int
	for i := len(parts) - 1; i >= 0; i-- {
		p := parts[i]
		if e := c.kept[p.Key]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.kept[p.Key] = c.order.PushFront(p)
		c.tokens += p.Tokens
		added += p.Tokens
	}
	return added
}

func (c *prefixCache) touch(parts []prefixindex.Block) {
	for i := len(parts) - 1; i >= 0; i-- {
		if e := c.kept[parts[i].Key]; e != nil {
			c.order.MoveToFront(e)
		}
	}
}

func (c *prefixCache) evict(most int) {
	for c.tokens > most && c.order.Len() > 0 {
		e := c.order.Back()
		p := e.Value.(prefixindex.Block)
		c.order.Remove(e)
		delete(c.kept, p.Key)
		c.tokens -= p.Tokens
	}
}
