package prefixindex

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a part of a prompt together with all parts before it and the model: a hash chain.
type Key uint64

// Block is one part of a prompt's prefix and how many tokens it has.
type Block struct {
	Key    Key
	Tokens int
}

// MaxBlocks is the most parts that a header may name.
const MaxBlocks = 64

const (
	maxPartName   = 128
	maxPartTokens = 1 << 20
)

// HeaderError is a prefix header that cannot be read: which part, and what it must be.
type HeaderError struct {
	Value, Requirement string
}

func (e *HeaderError) Error() string {
	return "X-Prompt-Prefix: " + strconv.Quote(e.Value) + ": must be " + e.Requirement
}

// Parse reads an X-Prompt-Prefix header, "id/tokens, id/tokens" or "id:tokens", for a model. An empty header has no parts; the error
// is a *HeaderError.
func Parse(model, header string) ([]Block, error) {
	if strings.TrimSpace(header) == "" {
		return nil, nil
	}
	fields := strings.Split(header, ",")
	if len(fields) > MaxBlocks {
		return nil, &HeaderError{Value: strconv.Itoa(len(fields)) + " parts", Requirement: "at most " + strconv.Itoa(MaxBlocks) + " parts"}
	}
	parent := xxhash.Sum64String(model)
	var parts []Block
	for _, f := range fields {
		f = strings.TrimSpace(f)
		separator := strings.LastIndexAny(f, "/:")
		id, num := f[:max(separator, 0)], f[separator+1:]
		n, bad := strconv.Atoi(num)
		if id == "" || strings.Contains(id, "/") || len(id) > maxPartName || bad != nil || n < 1 || n > maxPartTokens {
			return nil, &HeaderError{Value: f, Requirement: "id/tokens or id:tokens with 1 to 1048576 tokens"}
		}
		parent = xxhash.Sum64String(strconv.FormatUint(parent, 16) + "/" + id)
		parts = append(parts, Block{Key: Key(parent), Tokens: n})
	}
	return parts, nil
}

// Tokens adds up the tokens of parts.
func Tokens(parts []Block) int {
	var n int
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}
