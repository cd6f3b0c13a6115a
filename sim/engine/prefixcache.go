package engine

import (
	"container/list"

	"github.com/mallowbridge/mallowbridge/prefixindex"
)

// prefixCache contains the prefix blocks of prefilled prompts and evicts the least recently used ones first.
type prefixCache struct {
	entries map[prefixindex.Key]*list.Element
	order   *list.List
	tokens  int
}

func newPrefixCache() prefixCache {
	return prefixCache{entries: map[prefixindex.Key]*list.Element{}, order: list.New()}
}

// cachedTokens returns how many tokens need no prefill: those of the leading blocks, up to the first block that is not cached.
func (c *prefixCache) cachedTokens(blocks []prefixindex.Block) int {
	var tokens int
	for _, block := range blocks {
		if c.entries[block.Key] == nil {
			break
		}
		tokens += block.Tokens
	}
	return tokens
}

// add caches all blocks, the first as the most recently used, and returns how many tokens were added.
func (c *prefixCache) add(blocks []prefixindex.Block) int {
	var added int
	for i := len(blocks) - 1; i >= 0; i-- {
		block := blocks[i]
		if e := c.entries[block.Key]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.entries[block.Key] = c.order.PushFront(block)
		c.tokens += block.Tokens
		added += block.Tokens
	}
	return added
}

// touch marks the cached ones among the blocks as most recently used.
func (c *prefixCache) touch(blocks []prefixindex.Block) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if e := c.entries[blocks[i].Key]; e != nil {
			c.order.MoveToFront(e)
		}
	}
}

// evict removes the least recently used blocks until at most that many tokens remain.
func (c *prefixCache) evict(maxTokens int) {
	for c.tokens > maxTokens && c.order.Len() > 0 {
		e := c.order.Back()
		block := e.Value.(prefixindex.Block)
		c.order.Remove(e)
		delete(c.entries, block.Key)
		c.tokens -= block.Tokens
	}
}
