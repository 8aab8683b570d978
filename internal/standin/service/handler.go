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

const (
	pathFaults   = "/faults"
	pathCounters = "/counters"
	maxBodyBytes = 4 << 20
)

// Receipt is the body of an answer.
type Receipt struct {
	Service string `json:"service"`
	Kind    string `json:"kind"`
	Request string `json:"request"`
	// BodyHash is the xxhash of the call's body, so that a checker can tell
	// whose answer it is.
	BodyHash uint64 `json:"body_hash"`
}

type problem struct {
	Error string `json:"error"`
}

type empty struct{}

func (s *Service) handler(ctx context.Context) http.Handler {
	calls := echo.New()
	calls.POST(service.PathCalls+":kind", func(c echo.Context) error { return s.call(ctx, c) })
	calls.GET(service.PathStatus, func(c echo.Context) error {
		leaving := !s.faults.LeavingSince().IsZero()
		return c.JSON(http.StatusOK, service.Status{Leaving: leaving, Running: s.ledger.enter(0)})
	})
	steering := echo.New()
	steering.POST(pathFaults, s.serveFault)
	steering.GET(pathCounters, s.serveCounters)
	mux := http.NewServeMux()
	mux.Handle(pathFaults, steering)
	mux.Handle(pathCounters, steering)
	mux.Handle("/", s.faults.Wrap(ctx, calls))
	return mux
}

// call runs one request; its effect happens when its time has passed.
func (s *Service) call(ctx context.Context, c echo.Context) error {
	kind, header := c.Param("kind"), c.Request().Header
	takes, known := s.config.duration(kind)
	if !known {
		return notRun(c, http.StatusNotFound, "unknown kind")
	}
	request := header.Get(service.HeaderRequest)
	if request == "" {
		return notRun(c, http.StatusBadRequest, "X-Request-Id is required")
	}
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes {
		return notRun(c, http.StatusBadRequest, "body cannot be read or is too long")
	}
	s.ledger.enter(1)
	defer s.ledger.enter(-1)
	if !wait(ctx, takes) || !s.faults.WaitWhileFrozen(ctx) {
		panic(http.ErrAbortHandler)
	}
	s.ledger.run(kind, request, header.Get(service.HeaderKey), s.faults.LeavingSince())
	status := http.StatusOK
	if s.faults.ConsumeFailure(c.Request().URL.Path) {
		status = http.StatusInternalServerError
		c.Response().Header().Set(service.HeaderOutcome, service.OutcomeFailed)
	}
	return c.JSON(status, Receipt{
		Service: s.config.Service, Kind: kind, Request: request, BodyHash: xxhash.Sum64(body),
	})
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func notRun(c echo.Context, status int, text string) error {
	c.Response().Header().Set(service.HeaderOutcome, service.OutcomeNotRun)
	return c.JSON(status, problem{Error: text})
}

func (s *Service) serveFault(c echo.Context) error {
	var order fault.Command
	if err := json.NewDecoder(c.Request().Body).Decode(&order); err != nil {
		return c.JSON(http.StatusBadRequest, problem{Error: err.Error()})
	}
	if err := s.InjectFault(order); err != nil {
		return c.JSON(http.StatusBadRequest, problem{Error: err.Error()})
	}
	return c.JSON(http.StatusOK, empty{})
}

func (s *Service) serveCounters(c echo.Context) error {
	return c.JSON(http.StatusOK, s.Counters(c.QueryParam("runs") != ""))
}

// ControlHandler serves the faults and counters of many services on one address,
// which answers also while a service is dead: GET /counters for all, and
// POST /services/{name}/faults and GET /services/{name}/counters.
func ControlHandler(services []*Service) http.Handler {
	r := echo.New()
	named := func(serve func(*Service, echo.Context) error) echo.HandlerFunc {
		return func(c echo.Context) error {
			for _, s := range services {
				if s.Name() == c.Param("name") {
					return serve(s, c)
				}
			}
			return c.JSON(http.StatusNotFound, problem{Error: "no such service"})
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
