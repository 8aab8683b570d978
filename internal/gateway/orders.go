package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/httpcall"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/telemetry"
	"github.com/chestnutline/chestnutline/platform"
)

// orderTimeout limits an order to a server, which answers without doing other
// work first. It covers a round trip between data centres and one pass of the
// engine.
const orderTimeout = 500 * time.Millisecond

// orderSender sends orders to servers, which reserve and release memory.
type orderSender struct {
	httpClient *httpcall.Client
	logger     log.Interface
	metrics    *telemetry.Registry
	notices    *noticeReader
	post       func(balance.Event)
}

// reserve asks a server to reserve memory and posts the result. The result of a
// renewal is not posted.
func (o *orderSender) reserve(e balance.ReserveMemory) {
	go func() {
		body, err := platform.ReserveOrder{ReservationID: e.Member.ReservationID, Tokens: e.Member.ReservedTokens, HoldTime: e.Hold}.Encode()
		if err == nil {
			err = o.send(e.Member, body, func(response *http.Response) {
				o.notices.read(response, e.RequestNumber, e.Attempt, e.Member.Upstream)
			})
		}
		fields := log.Fields{
			"ticket": e.Member.ReservationID, "upstream": e.Member.Upstream, "tokens": e.Member.ReservedTokens, "renewal": e.Renewal, "ok": err == nil,
		}
		if err != nil {
			fields["error"] = err.Error()
		}
		if !e.Renewal || err != nil {
			logevent.MemoryReserved.Emit(o.logger, fields)
		}
		if !e.Renewal {
			o.post(balance.ReservationResult{
				RequestNumber: e.RequestNumber, Attempt: e.Attempt, Upstream: e.Member.Upstream, OK: err == nil, Class: classifyOrderError(err),
			})
		}
	}()
}

// classifyOrderError returns the failure class that the error of an order
// shows; it is empty for nil.
func classifyOrderError(err error) balance.FailureClass {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, httpcall.ErrNotSent):
		return balance.FailureNotConnected
	default:
		return balance.FailureNoCapacity
	}
}

// release tells a server to free reserved memory. If the order fails, the
// server frees the memory when the reservation expires.
func (o *orderSender) release(m balance.Member) {
	go func() {
		body, err := platform.ReleaseOrder{ReservationID: m.ReservationID}.Encode()
		if err == nil {
			err = o.send(m, body, func(*http.Response) {})
		}
		if err != nil {
			logevent.MemoryNotReleased.Emit(o.logger, log.Fields{"ticket": m.ReservationID, "upstream": m.Upstream, "error": err.Error()})
		}
	}()
}

// send sends one order, and passes the answer of the server to inspect. It returns an error
// if the order was not answered or not carried out.
func (o *orderSender) send(m balance.Member, body []byte, inspect func(*http.Response)) error {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	response, err := o.httpClient.Do(ctx, httpcall.Call{
		Method: http.MethodPost, Address: m.Address, Path: platform.OrderPath,
		Header: platform.OrderHeader(m.Upstream), Body: bytes.NewReader(body), BodyLength: int64(len(body)), NewConnection: true,
	})
	o.metrics.Count("gateway_orders_total", 1)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusMisdirectedRequest {
		o.reportLimit(m, response)
		inspect(response)
	}
	const maxOrderAnswer = 64 << 10
	size, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxOrderAnswer+1))
	if err == nil && size > maxOrderAnswer {
		err = errors.Errorf("longer than %d bytes", maxOrderAnswer)
	}
	if err != nil {
		return errors.Wrap(err, "read the answer to an order")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("order answered with status %d", response.StatusCode)
	}
	return nil
}

// reportLimit posts the limit that a server names in its answer to an order.
func (o *orderSender) reportLimit(m balance.Member, response *http.Response) {
	limit, err := platform.DecodeRequestLimit(response.Header)
	if err == nil && limit > 0 {
		o.post(balance.LimitObserved{Upstream: m.Upstream, PerSecond: limit})
	}
}
