package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/clock"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/telemetry"
	"github.com/chestnutline/chestnutline/platform"
)

// invalidNoticeInterval is the least time between two log lines about answers in which
// servers said something unreadable about themselves. All of them are counted.
const invalidNoticeInterval = time.Minute

// noticeReader posts what servers say about themselves in their answers.
type noticeReader struct {
	clock   clock.Clock
	logger  log.Interface
	metrics *telemetry.Registry
	post    func(balance.Event)
	// loggedAt is when an unreadable notice was last logged, in nanoseconds of the clock;
	// 0 if none was.
	loggedAt atomic.Int64
}

// read posts what the answer of a server to an attempt, or to an order for it, says about
// rest, shutdown and how long the server is cold.
func (n *noticeReader) read(response *http.Response, requestNumber uint64, attempt int, upstream string) {
	rest, err := platform.DecodeRestTime(response)
	if err != nil {
		n.recordInvalid(upstream, err)
	}
	leaving := platform.IsLeaving(response.Header)
	cold, _, err := platform.DecodeColdTime(response.Header)
	if err != nil {
		n.metrics.Count("gateway_invalid_upstream_headers_total", 1, "header", "cold_time")
	}
	if rest > 0 || leaving || cold > 0 {
		n.post(balance.AnswerNotice{RequestNumber: requestNumber, Attempt: attempt, Upstream: upstream, RestTime: rest, Leaving: leaving, ColdTime: cold})
	}
}

// recordInvalid counts an unreadable notice, and logs it unless one was logged lately.
func (n *noticeReader) recordInvalid(upstream string, err error) {
	n.metrics.Count("gateway_invalid_upstream_headers_total", 1, "header", "retry_after")
	now, last := int64(max(1, n.clock.Now())), n.loggedAt.Load()
	if last != 0 && now-last < int64(invalidNoticeInterval) || !n.loggedAt.CompareAndSwap(last, now) {
		return
	}
	logevent.UpstreamNoticeInvalid.Emit(n.logger, log.Fields{"upstream": upstream, "error": err.Error()})
}
