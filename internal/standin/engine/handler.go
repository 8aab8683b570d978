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

// Paths of the stand-in's own functions, which no real engine has.
const (
	pathFaults   = "/faults"
	pathCounters = "/counters"
)

// maxBodyBytes is the greatest length of a request body in bytes.
const maxBodyBytes = 32 << 20

// handler returns the routes of the engine's protocol and of the stand-in's own
// functions. Faults apply to the protocol only.
func (i *instance) handler() http.Handler {
	r := echo.New()
	r.HideBanner, r.HidePort = true, true
	r.HTTPErrorHandler = answerError
	r.Use(middleware.BodyLimit(strconv.Itoa(maxBodyBytes)))
	r.POST(api.PathGenerate, i.generate)
	r.GET(api.PathStreams+"/:request/:attempt", i.resume)
	r.POST(api.PathReserve, i.reserve)
	r.POST(api.PathPrefill, i.prefillShare)
	r.POST(api.PathExport, i.exportCache)
	r.POST(api.PathImport, i.importCache)
	r.POST(api.PathCancel, i.cancelWork)
	r.GET(api.PathWork, i.listWork)
	r.GET(api.PathLoad, i.loadReport)
	r.GET(api.PathCacheEvents, i.cacheEvents)
	r.POST(api.PathOrders, i.executeOrder)
	r.GET(api.PathStatus, i.status)
	control := echo.New()
	control.HTTPErrorHandler = answerError
	control.POST(pathFaults, func(c echo.Context) error { return serveFault(c, i.engine) })
	control.GET(pathCounters, func(c echo.Context) error { return serveCounters(c, i.engine) })
	mux := http.NewServeMux()
	mux.Handle(pathFaults, control)
	mux.Handle(pathCounters, control)
	mux.Handle("/", i.engine.faults.Wrap(i.ctx, r))
	return mux
}

// errorAnswer is an error that is sent to the client as an error document with
// its HTTP status.
type errorAnswer struct {
	status int
	code   string
	text   string
}

// Error returns the message of the error document.
func (r errorAnswer) Error() string { return r.text }

func badRequest(text string) error {
	return errorAnswer{status: http.StatusBadRequest, code: api.CodeBadRequest, text: text}
}

// errorAnswerFor returns the error document for an error of package batch.
func errorAnswerFor(err error) errorAnswer {
	switch {
	case errors.Is(err, batch.ErrNoMemory):
		return errorAnswer{http.StatusServiceUnavailable, api.CodeNoMemory, err.Error()}
	case errors.Is(err, batch.ErrQueueFull):
		return errorAnswer{http.StatusServiceUnavailable, api.CodeQueueFull, err.Error()}
	case errors.Is(err, batch.ErrCancelled):
		return errorAnswer{http.StatusConflict, api.CodeCancelled, err.Error()}
	case errors.Is(err, batch.ErrDuplicate):
		return errorAnswer{http.StatusConflict, api.CodeDuplicate, err.Error()}
	default:
		return errorAnswer{http.StatusBadRequest, api.CodeBadRequest, err.Error()}
	}
}

// answerError sends an error as an error document, unless the answer has begun.
func answerError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var r errorAnswer
	if !errors.As(err, &r) {
		r = errorAnswer{status: http.StatusBadRequest, code: api.CodeBadRequest, text: err.Error()}
		var h *echo.HTTPError
		if errors.As(err, &h) {
			r.status = h.Code
		}
	}
	_ = c.JSON(r.status, api.ErrorBody{Error: api.ErrorDetail{Code: r.code, Message: r.text}})
}
