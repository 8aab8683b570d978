package balance

import "time"

// budgetBuckets divides the window of a retry budget.
const budgetBuckets = 10

// budgetPart is the part of the slack that hosts spend: their windows do not
// begin at the same time, and hosts that start anew know of nothing spent.
const budgetPart = 0.7

// budget bounds the repeated sends of one service. Each host spends the ratio
// of its own requests and an even part of the slack, so that all hosts
// together keep the bound without talking to each other.
type budget struct {
	buckets [budgetBuckets]struct {
		start             time.Duration
		requests, repeats int
	}
}

func (b *budget) bucket(now, window time.Duration) *struct {
	start             time.Duration
	requests, repeats int
} {
	width := window / budgetBuckets
	index := now / width
	slot := &b.buckets[index%budgetBuckets]
	if start := index * width; slot.start != start {
		slot.start, slot.requests, slot.repeats = start, 0, 0
	}
	return slot
}

func (b *budget) arrived(now, window time.Duration) { b.bucket(now, window).requests++ }

// spend takes one repeat if the budget of the last window allows it.
func (b *budget) spend(now time.Duration, c *Config, hosts int) bool {
	requests, repeats := 0, 0
	for _, slot := range b.buckets {
		if now-slot.start <= c.RetryWindow {
			requests += slot.requests
			repeats += slot.repeats
		}
	}
	allowed := c.RetryRatio*float64(requests) + budgetPart*float64(c.RetrySlack)/float64(hosts)
	if float64(repeats+1) > allowed {
		return false
	}
	b.bucket(now, c.RetryWindow).repeats++
	return true
}
