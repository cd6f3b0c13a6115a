package scheduler

// retryBudget allows retries as a share of first attempts, up to a number in hand.
type retryBudget struct {
	ratio, limit, tokens float64
}

func (b *retryBudget) configure(ratio, most float64) {
	b.ratio, b.limit = ratio, most
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
