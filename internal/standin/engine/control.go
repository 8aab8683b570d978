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

// maxEvents is the most cache events in one answer.
const maxEvents = 4096

type empty struct{}

func decode(c echo.Context, into any) error {
	if err := json.NewDecoder(c.Request().Body).Decode(into); err != nil {
		return badRequest("body: " + err.Error())
	}
	return nil
}

func (l *life) reserve(c echo.Context) error {
	var r api.Reservation
	if err := decode(c, &r); err != nil {
		return err
	}
	if !isID(r.Work.Request) {
		return badRequest("work.request: must be 1 to 128 letters, digits, '-', '_' or '.'")
	}
	var err error
	l.withCore(func(core *batch.Engine, now time.Duration) { err = core.Reserve(now, r) })
	if err != nil {
		return refusalOf(err)
	}
	return c.JSON(http.StatusOK, empty{})
}

func (l *life) cancelWork(c echo.Context) error {
	var r api.WorkRef
	if err := decode(c, &r); err != nil {
		return err
	}
	l.withCore(func(core *batch.Engine, now time.Duration) { core.Cancel(now, r.Work) })
	return c.JSON(http.StatusOK, empty{})
}

func (l *life) listWork(c echo.Context) error {
	var list api.WorkList
	l.withCore(func(core *batch.Engine, _ time.Duration) { list.Work = core.ListWork() })
	return c.JSON(http.StatusOK, list)
}

func (l *life) loadReport(c echo.Context) error {
	l.mu.Lock()
	report := l.report
	l.mu.Unlock()
	return c.JSON(http.StatusOK, report)
}

func (l *life) cacheEvents(c echo.Context) error {
	from, err := strconv.ParseUint(c.QueryParam("from"), 10, 64)
	if err != nil {
		return badRequest("from: must be a number, 0 or more")
	}
	var events api.CacheEvents
	l.withCore(func(core *batch.Engine, now time.Duration) { events = core.Events(now, from, maxEvents) })
	return c.JSON(http.StatusOK, events)
}

func (l *life) order(c echo.Context) error {
	var o api.Order
	if err := decode(c, &o); err != nil {
		return err
	}
	if o.ID == "" {
		return badRequest("id: must not be empty")
	}
	var result orderResult
	l.mu.Lock()
	result = l.models.take(l.now(), o)
	l.mu.Unlock()
	l.engine.ledger.ordered(result)
	if result == orderFenced {
		return refusal{http.StatusPreconditionFailed, api.CodeFenced, "fencing number is old"}
	}
	return c.JSON(http.StatusOK, empty{})
}

func (l *life) status(c echo.Context) error {
	l.mu.Lock()
	status := l.models.status(l.now())
	l.mu.Unlock()
	return c.JSON(http.StatusOK, status)
}

// cacheBlocks is the body of PathExport and PathImport: leading blocks of a prompt.
type cacheBlocks struct {
	Prefixes []uint64 `json:"prefixes"`
}

func (l *life) exportCache(c echo.Context) error {
	var b cacheBlocks
	if err := decode(c, &b); err != nil {
		return err
	}
	l.withCore(func(core *batch.Engine, now time.Duration) {
		b.Prefixes = b.Prefixes[:core.CachedBlocks(now, b.Prefixes)]
	})
	return c.JSON(http.StatusOK, b)
}

func (l *life) importCache(c echo.Context) error {
	var b cacheBlocks
	if err := decode(c, &b); err != nil {
		return err
	}
	l.withCore(func(core *batch.Engine, now time.Duration) { core.ImportBlocks(now, b.Prefixes) })
	return c.JSON(http.StatusOK, empty{})
}
