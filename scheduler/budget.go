package scheduler

// retryBudget permits retries as a ratio of first attempts. Unused permits accumulate up to limit.
type retryBudget struct {
	ratio, limit, tokens float64
}

func (b *retryBudget) configure(ratio, limit float64) {
	b.ratio, b.limit = ratio, limit
	b.tokens = min(b.tokens, b.limit)
}

func (b *retryBudget) earn() { b.tokens = min(b.tokens+b.ratio, b.limit) }

func (b *retryBudget) refund() { b.tokens = min(b.tokens+1, b.limit) }

func (b *retryBudget) available() bool { return b.tokens >= 1 }

func (b *retryBudget) spend() bool {
	if !b.available() {
		return false
	}
	b.tokens--
	return true
}
