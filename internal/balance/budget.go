package balance

import "time"

// budgetBuckets is the number of parts into which the window of a retry budget
// is divided.
const budgetBuckets = 10

// spendableSlackShare is the share of the slack that the hosts spend. The rest
// is a margin for two errors: the windows of the hosts do not begin at the same
// time, and a restarted host does not know what it has already spent.
const spendableSlackShare = 0.7

// retryBudget bounds the retries of one service. Each host may spend the ratio
// of its own requests and an equal part of the slack, so that all hosts
// together keep the bound without talking to each other. Each bucket counts the
// requests and the retries of one part of the window, which begins at start.
type retryBudget struct {
	buckets [budgetBuckets]struct {
		start             time.Duration
		requests, retries int
	}
}

// currentBucket returns the bucket that the given time falls into, and empties
// it first if it still counts an earlier window.
func (b *retryBudget) currentBucket(now, window time.Duration) *struct {
	start             time.Duration
	requests, retries int
} {
	width := window / budgetBuckets
	index := now / width
	current := &b.buckets[index%budgetBuckets]
	if start := index * width; current.start != start {
		current.start, current.requests, current.retries = start, 0, 0
	}
	return current
}

// recordRequest counts one request.
func (b *retryBudget) recordRequest(now, window time.Duration) {
	b.currentBucket(now, window).requests++
}

// requestRate returns the number of requests a second in the last window.
func (b *retryBudget) requestRate(now, window time.Duration) float64 {
	requests := 0
	for _, bucket := range b.buckets {
		if now-bucket.start <= window {
			requests += bucket.requests
		}
	}
	return float64(requests) / window.Seconds()
}

// spent returns the number of retries in the last window.
func (b *retryBudget) spent(now, window time.Duration) int {
	retries := 0
	for _, bucket := range b.buckets {
		if now-bucket.start <= window {
			retries += bucket.retries
		}
	}
	return retries
}

// canSpend reports whether the requests and retries of the last window allow one more
// retry.
func (b *retryBudget) canSpend(now time.Duration, config *Config, hosts int) bool {
	requests, retries := 0, b.spent(now, config.RetryWindow)
	for _, bucket := range b.buckets {
		if now-bucket.start <= config.RetryWindow {
			requests += bucket.requests
		}
	}
	allowed := config.RetryRatio*float64(requests) + spendableSlackShare*float64(config.RetrySlack)/float64(hosts)
	return float64(retries+1) <= allowed
}

// trySpend counts one retry if canSpend allows it, and reports whether it does.
func (b *retryBudget) trySpend(now time.Duration, config *Config, hosts int) bool {
	if !b.canSpend(now, config, hosts) {
		return false
	}
	b.currentBucket(now, config.RetryWindow).retries++
	return true
}
