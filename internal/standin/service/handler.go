package service

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"github.com/chestnutline/chestnutline/internal/service"
	"github.com/chestnutline/chestnutline/internal/standin/fault"
)

// Paths of the stand-in's own functions, and the greatest length of a call's
// body in bytes.
const (
	pathFaults   = "/faults"
	pathCounters = "/counters"
	maxBodyBytes = 4 << 20
)

// Receipt is the body of the answer to a call that was run.
type Receipt struct {
	// Service, Kind and Request repeat the service's name, the kind of the call
	// and the request id.
	Service string `json:"service"`
	Kind    string `json:"kind"`
	Request string `json:"request"`
	// BodyHash is the xxhash of the call's body, with which a checker can tell
	// which call the answer belongs to.
	BodyHash uint64 `json:"body_hash"`
}

type errorBody struct {
	Error string `json:"error"`
}

type emptyAnswer struct{}

// handler returns the routes of the service's protocol and of the stand-in's own
// functions. Faults apply to the protocol only.
func (s *Service) handler(ctx context.Context) http.Handler {
	calls := echo.New()
	calls.POST(service.PathCallPrefix+":kind", func(c echo.Context) error { return s.call(ctx, c) })
	calls.GET(service.PathStatus, func(c echo.Context) error {
		leaving := !s.faults.LeavingSince().IsZero()
		return c.JSON(http.StatusOK, service.Status{Leaving: leaving, Running: s.checkCounters.addRunning(0)})
	})
	control := echo.New()
	control.POST(pathFaults, s.serveFault)
	control.GET(pathCounters, s.serveCounters)
	mux := http.NewServeMux()
	mux.Handle(pathFaults, control)
	mux.Handle(pathCounters, control)
	mux.Handle("/", s.faults.Wrap(ctx, calls))
	return mux
}

// call runs one request. The run is counted after the duration of the call has
// passed, since its effect happens then.
func (s *Service) call(ctx context.Context, c echo.Context) error {
	kind, header := c.Param("kind"), c.Request().Header
	callDuration, known := s.config.callDuration(kind)
	if !known {
		return answerNotRun(c, http.StatusNotFound, "unknown kind")
	}
	request := header.Get(service.HeaderRequestID)
	if request == "" {
		return answerNotRun(c, http.StatusBadRequest, "X-Request-Id is required")
	}
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes {
		return answerNotRun(c, http.StatusBadRequest, "body cannot be read or is too long")
	}
	s.checkCounters.addRunning(1)
	defer s.checkCounters.addRunning(-1)
	if !sleep(ctx, callDuration) || !s.faults.WaitWhileFrozen(ctx) {
		panic(http.ErrAbortHandler)
	}
	s.checkCounters.recordRun(kind, request, header.Get(service.HeaderIdempotencyKey), s.faults.LeavingSince())
	status := http.StatusOK
	if s.faults.ConsumeFailure(c.Request().URL.Path) {
		status = http.StatusInternalServerError
		c.Response().Header().Set(service.HeaderOutcome, service.OutcomeFailed)
	}
	return c.JSON(status, Receipt{
		Service: s.config.Service, Kind: kind, Request: request, BodyHash: xxhash.Sum64(body),
	})
}

// sleep waits for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// answerNotRun refuses a call and marks it as not run in the outcome header.
func answerNotRun(c echo.Context, status int, text string) error {
	c.Response().Header().Set(service.HeaderOutcome, service.OutcomeNotRun)
	return c.JSON(status, errorBody{Error: text})
}

func (s *Service) serveFault(c echo.Context) error {
	var command fault.Command
	if err := json.NewDecoder(c.Request().Body).Decode(&command); err != nil {
		return c.JSON(http.StatusBadRequest, errorBody{Error: err.Error()})
	}
	if err := s.InjectFault(command); err != nil {
		return c.JSON(http.StatusBadRequest, errorBody{Error: err.Error()})
	}
	return c.JSON(http.StatusOK, emptyAnswer{})
}

func (s *Service) serveCounters(c echo.Context) error {
	return c.JSON(http.StatusOK, s.Counters(c.QueryParam("runs") != ""))
}

// ControlHandler serves the faults and counters of many services on one address,
// which also answers while a service is dead. It serves GET /counters for all
// services, and POST /services/{name}/faults and GET /services/{name}/counters
// for one of them.
func ControlHandler(services []*Service) http.Handler {
	r := echo.New()
	named := func(serve func(*Service, echo.Context) error) echo.HandlerFunc {
		return func(c echo.Context) error {
			for _, s := range services {
				if s.Name() == c.Param("name") {
					return serve(s, c)
				}
			}
			return c.JSON(http.StatusNotFound, errorBody{Error: "no such service"})
		}
	}
	r.POST("/services/:name"+pathFaults, named((*Service).serveFault))
	r.GET("/services/:name"+pathCounters, named((*Service).serveCounters))
	r.GET(pathCounters, func(c echo.Context) error {
		all := make([]Counters, len(services))
		for i, s := range services {
			all[i] = s.Counters(c.QueryParam("runs") != "")
		}
		return c.JSON(http.StatusOK, all)
	})
	return r
}
