package prefixindex

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a block of a prompt, given the model and all blocks before it. It is computed as a hash chain.
type Key uint64

// Block is one block of a prompt's prefix and its length in tokens.
type Block struct {
	Key    Key
	Tokens int
}

// MaxBlocks is the maximum number of blocks in a header.
const MaxBlocks = 64

// maxBlockID is the maximum length of a block's id in bytes, maxBlockTokens its maximum length in tokens.
const (
	maxBlockID     = 128
	maxBlockTokens = 1 << 20
)

// HeaderError reports an invalid X-Prompt-Prefix header: the offending value and the requirement that it violates.
type HeaderError struct {
	Value, Requirement string
}

func (e *HeaderError) Error() string {
	return "X-Prompt-Prefix: " + strconv.Quote(e.Value) + ": must be " + e.Requirement
}

// Parse returns the prefix blocks that an X-Prompt-Prefix header lists for a model. Its syntax is "id/tokens,
// id/tokens", or "id:tokens" for each block. An empty header has no blocks. The error is a *HeaderError.
func Parse(model, header string) ([]Block, error) {
	if strings.TrimSpace(header) == "" {
		return nil, nil
	}
	fields := strings.Split(header, ",")
	if len(fields) > MaxBlocks {
		return nil, &HeaderError{Value: strconv.Itoa(len(fields)) + " parts", Requirement: "at most " + strconv.Itoa(MaxBlocks) + " parts"}
	}
	parent := xxhash.Sum64String(model)
	var blocks []Block
	for _, f := range fields {
		f = strings.TrimSpace(f)
		separator := strings.LastIndexAny(f, "/:")
		id, num := f[:max(separator, 0)], f[separator+1:]
		n, err := strconv.Atoi(num)
		if id == "" || strings.Contains(id, "/") || len(id) > maxBlockID || err != nil || n < 1 || n > maxBlockTokens {
			return nil, &HeaderError{Value: f, Requirement: "id/tokens or id:tokens with 1 to 1048576 tokens"}
		}
		parent = xxhash.Sum64String(strconv.FormatUint(parent, 16) + "/" + id)
		blocks = append(blocks, Block{Key: Key(parent), Tokens: n})
	}
	return blocks, nil
}

// Tokens returns the total length of blocks in tokens.
func Tokens(blocks []Block) int {
	var n int
	for _, block := range blocks {
		n += block.Tokens
	}
	return n
}
