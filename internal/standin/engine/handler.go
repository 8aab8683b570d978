package engine

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
	"github.com/pkg/errors"

	api "github.com/chestnutline/chestnutline/internal/engine"
	"github.com/chestnutline/chestnutline/internal/standin/batch"
)

// Paths of the stand-in that no real engine has.
const (
	pathFaults   = "/faults"
	pathCounters = "/counters"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 32 << 20

// handler routes the engine's protocol.
func (l *life) handler() http.Handler {
	r := echo.New()
	r.HideBanner, r.HidePort = true, true
	r.HTTPErrorHandler = answerError
	r.Use(middleware.BodyLimit(strconv.Itoa(maxBodyBytes)))
	r.POST(api.PathGenerate, l.generate)
	r.GET(api.PathStreams+"/:request/:attempt", l.resume)
	r.POST(api.PathReserve, l.reserve)
	r.POST(api.PathPrefill, l.prefillShare)
	r.POST(api.PathExport, l.exportCache)
	r.POST(api.PathImport, l.importCache)
	r.POST(api.PathCancel, l.cancelWork)
	r.GET(api.PathWork, l.listWork)
	r.GET(api.PathLoad, l.loadReport)
	r.GET(api.PathCacheEvents, l.cacheEvents)
	r.POST(api.PathOrders, l.order)
	r.GET(api.PathStatus, l.status)
	steering := echo.New()
	steering.HTTPErrorHandler = answerError
	steering.POST(pathFaults, func(c echo.Context) error { return serveFault(c, l.engine) })
	steering.GET(pathCounters, func(c echo.Context) error { return serveCounters(c, l.engine) })
	mux := http.NewServeMux()
	mux.Handle(pathFaults, steering)
	mux.Handle(pathCounters, steering)
	mux.Handle("/", l.engine.faults.Wrap(l.ctx, r))
	return mux
}

// refusal is an error document with its status.
type refusal struct {
	status int
	code   string
	text   string
}

// Error returns the message.
func (r refusal) Error() string { return r.text }

func badRequest(text string) error {
	return refusal{status: http.StatusBadRequest, code: api.CodeBadRequest, text: text}
}

// refusalOf maps a refusal of the core.
func refusalOf(err error) refusal {
	switch {
	case errors.Is(err, batch.ErrNoMemory):
		return refusal{http.StatusServiceUnavailable, api.CodeNoMemory, err.Error()}
	case errors.Is(err, batch.ErrQueueFull):
		return refusal{http.StatusServiceUnavailable, api.CodeQueueFull, err.Error()}
	case errors.Is(err, batch.ErrCancelled):
		return refusal{http.StatusConflict, api.CodeCancelled, err.Error()}
	case errors.Is(err, batch.ErrDuplicate):
		return refusal{http.StatusConflict, api.CodeDuplicate, err.Error()}
	default:
		return refusal{http.StatusBadRequest, api.CodeBadRequest, err.Error()}
	}
}

func answerError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var r refusal
	if !errors.As(err, &r) {
		r = refusal{status: http.StatusBadRequest, code: api.CodeBadRequest, text: err.Error()}
		var h *echo.HTTPError
		if errors.As(err, &h) {
			r.status = h.Code
		}
	}
	_ = c.JSON(r.status, api.ErrorBody{Error: api.ErrorDetail{Code: r.code, Message: r.text}})
}
