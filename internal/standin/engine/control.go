package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	api "github.com/chestnutline/chestnutline/internal/engine"
	"github.com/chestnutline/chestnutline/internal/standin/batch"
)

// maxEvents is the highest number of cache events in one answer.
const maxEvents = 4096

type emptyAnswer struct{}

func decodeBody(c echo.Context, into any) error {
	if err := json.NewDecoder(c.Request().Body).Decode(into); err != nil {
		return badRequest("body: " + err.Error())
	}
	return nil
}

func (i *instance) reserve(c echo.Context) error {
	var r api.Reservation
	if err := decodeBody(c, &r); err != nil {
		return err
	}
	if !isRequestID(r.Work.Request) {
		return badRequest("work.request: must be 1 to 128 letters, digits, '-', '_' or '.'")
	}
	var err error
	i.withCore(func(core *batch.Engine, now time.Duration) { err = core.Reserve(now, r) })
	if err != nil {
		return errorAnswerFor(err)
	}
	return c.JSON(http.StatusOK, emptyAnswer{})
}

func (i *instance) cancelWork(c echo.Context) error {
	var r api.WorkRef
	if err := decodeBody(c, &r); err != nil {
		return err
	}
	i.withCore(func(core *batch.Engine, now time.Duration) { core.Cancel(now, r.Work) })
	return c.JSON(http.StatusOK, emptyAnswer{})
}

func (i *instance) listWork(c echo.Context) error {
	var list api.WorkList
	i.withCore(func(core *batch.Engine, _ time.Duration) { list.Work = core.ListWork() })
	return c.JSON(http.StatusOK, list)
}

// loadReport answers with the report that was refreshed last, which can be
// ReportEvery old.
func (i *instance) loadReport(c echo.Context) error {
	i.mu.Lock()
	report := i.report
	i.mu.Unlock()
	return c.JSON(http.StatusOK, report)
}

func (i *instance) cacheEvents(c echo.Context) error {
	from, err := strconv.ParseUint(c.QueryParam("from"), 10, 64)
	if err != nil {
		return badRequest("from: must be a number, 0 or more")
	}
	var events api.CacheEvents
	i.withCore(func(core *batch.Engine, now time.Duration) { events = core.Events(now, from, maxEvents) })
	return c.JSON(http.StatusOK, events)
}

// executeOrder carries out an order to load or unload models. An order that was
// executed before gets the same answer again.
func (i *instance) executeOrder(c echo.Context) error {
	var o api.Order
	if err := decodeBody(c, &o); err != nil {
		return err
	}
	if o.ID == "" {
		return badRequest("id: must not be empty")
	}
	var result orderResult
	i.mu.Lock()
	result = i.models.execute(i.elapsed(), o)
	i.mu.Unlock()
	i.engine.checkCounters.recordOrder(result)
	if result == orderFenced {
		return errorAnswer{http.StatusPreconditionFailed, api.CodeFenced, "fencing number is old"}
	}
	return c.JSON(http.StatusOK, emptyAnswer{})
}

func (i *instance) status(c echo.Context) error {
	i.mu.Lock()
	status := i.models.status(i.elapsed())
	i.mu.Unlock()
	return c.JSON(http.StatusOK, status)
}

// cacheBlocks is the body of PathExport and PathImport: the hashes of the
// leading blocks of a prompt.
type cacheBlocks struct {
	Prefixes []uint64 `json:"prefixes"`
}

func (i *instance) exportCache(c echo.Context) error {
	var b cacheBlocks
	if err := decodeBody(c, &b); err != nil {
		return err
	}
	i.withCore(func(core *batch.Engine, now time.Duration) {
		b.Prefixes = b.Prefixes[:core.CachedBlocks(now, b.Prefixes)]
	})
	return c.JSON(http.StatusOK, b)
}

func (i *instance) importCache(c echo.Context) error {
	var b cacheBlocks
	if err := decodeBody(c, &b); err != nil {
		return err
	}
	i.withCore(func(core *batch.Engine, now time.Duration) { core.ImportBlocks(now, b.Prefixes) })
	return c.JSON(http.StatusOK, emptyAnswer{})
}
