package prefixindex

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

type Key uint64

type Part struct {
	Key    Key
	Tokens int
}

const MaxParts = 64

type HeaderError struct {
	Part, Bound string
}

func (e *HeaderError) Error() (text string) {
	return "X-Prompt-Prefix: " + strconv.Quote(e.Part) + ": must be " + e.Bound
}

// X-Prompt-Prefix: id/tokens, id/tokens; or id:tokens
func Parse(model, header string) (parts []Part, err error) {
	if strings.TrimSpace(header) == "" {
		return nil, nil
	}
	fields := strings.Split(header, ",")
	if len(fields) > MaxParts {
		return nil, &HeaderError{Part: strconv.Itoa(len(fields)) + " parts", Bound: "at most " + strconv.Itoa(MaxParts) + " parts"}
	}
	parent := xxhash.Sum64String(model)
	for _, f := range fields {
		f = strings.TrimSpace(f)
		cut := strings.LastIndexAny(f, "/:")
		id, num := f[:max(cut, 0)], f[cut+1:]
		n, bad := strconv.Atoi(num)
		if id == "" || strings.Contains(id, "/") || len(id) > 128 || bad != nil || n < 1 || n > 1<<20 {
			return nil, &HeaderError{Part: f, Bound: "id/tokens or id:tokens with 1 to 1048576 tokens"}
		}
		parent = xxhash.Sum64String(strconv.FormatUint(parent, 16) + "/" + id)
		parts = append(parts, Part{Key: Key(parent), Tokens: n})
	}
	return parts, nil
}

func Tokens(parts []Part) (n int) {
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}
