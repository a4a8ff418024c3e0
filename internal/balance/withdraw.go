package balance

// Withdraw takes back the retries that Request has added for a request that is not sent.
func (b *RetryBudget) Withdraw() { b.tokens -= b.ratio * budgetUse }
