package scheduler

// retryBudget allows retries as a share of first attempts, up to a number in hand.
type retryBudget struct {
	share, most, tokens float64
}

func (b *retryBudget) limit(share, most float64) {
	b.share, b.most = share, most
	b.tokens = min(b.tokens, b.most)
}

func (b *retryBudget) earn() { b.tokens = min(b.tokens+b.share, b.most) }

func (b *retryBudget) refund() { b.tokens = min(b.tokens+1, b.most) }

func (b *retryBudget) available() bool { return b.tokens >= 1 }

func (b *retryBudget) spend() bool {
	if !b.available() {
		return false
	}
	b.tokens--
	return true
}
