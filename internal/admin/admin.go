// Package admin serves the HTTP endpoints for operators, on an address of its own:
// the status, the metrics and a dump of the state of a process, and the decisions
// that it took for a request.
package admin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/journal"
	"github.com/chestnutline/chestnutline/internal/telemetry"
)

// readTimeout bounds the reading of a request, sourceTimeout the time that the
// source may take for an answer, and writeTimeout the time until the answer is taken.
// maxHeaderBytes is the largest accepted size of all headers of a request, and maxDumps the
// number of dumps, each of which is in memory until it is taken, at the same time.
const (
	readTimeout    = 5 * time.Second
	sourceTimeout  = 5 * time.Second
	writeTimeout   = 15 * time.Second
	maxHeaderBytes = 16 << 10
	maxDumps       = 4
)

// Status describes the state of a process.
type Status struct {
	Host          string `json:"host"`
	DataCentre    string `json:"data_centre"`
	ConfigVersion uint64 `json:"config_version"`
	Ready         bool   `json:"ready"`
	Draining      bool   `json:"draining"`
	// Holder is true when this process is the controller that holds the lease of
	// its data centre.
	Holder bool `json:"holder,omitempty"`
}

// Source provides what the server shows.
type Source interface {
	// Status returns the status of the process.
	Status(ctx context.Context) (Status, error)
	// Dump returns the state of the process as a value that can be encoded as JSON. The
	// size of the value is bounded.
	Dump(ctx context.Context) (any, error)
}

// Server serves the admin endpoints of one process.
type Server struct {
	http *http.Server
}

// NewServer returns a server. The journal may be nil for a process that records no
// decisions; the server then has no endpoint for them.
func NewServer(source Source, metrics *telemetry.Registry, decisions *journal.Journal) *Server {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.GET("/status", func(c echo.Context) error {
		return respond(c, func(ctx context.Context) (any, error) { return source.Status(ctx) })
	})
	e.GET("/dump", limitDumps(func(c echo.Context) error { return respond(c, source.Dump) }))
	e.GET("/metrics", func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
		return metrics.Write(c.Response())
	})
	if decisions != nil {
		e.GET("/account/:request", func(c echo.Context) error { return showDecisions(c, decisions) })
	}
	return &Server{http: &http.Server{Handler: e, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes}}
}

// Configure lets the process bound the connections of the server before it serves.
func (s *Server) Configure(configure func(*http.Server)) { configure(s.http) }

// limitDumps lets a bounded number of dumps be made and taken at the same time.
func limitDumps(show echo.HandlerFunc) echo.HandlerFunc {
	places := make(chan struct{}, maxDumps)
	return func(c echo.Context) error {
		select {
		case places <- struct{}{}:
			defer func() { <-places }()
			return show(c)
		default:
			return c.String(http.StatusServiceUnavailable, "too many dumps at the same time\n")
		}
	}
}

// respond answers with the value in JSON, or with status 503 and the error.
func respond(c echo.Context, get func(context.Context) (any, error)) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), sourceTimeout)
	defer cancel()
	value, err := get(ctx)
	if err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.JSON(http.StatusOK, value)
}

// showDecisions answers with the entries of a request, or with status 404 and an
// empty list if there are none.
func showDecisions(c echo.Context, decisions *journal.Journal) error {
	entries := decisions.Entries(c.Param("request"))
	if entries == nil {
		return c.JSON(http.StatusNotFound, []journal.Entry{})
	}
	return c.JSON(http.StatusOK, entries)
}

// Serve answers requests on the listener until Close is called.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve the admin surface")
}

// Close stops the server and closes its connections.
func (s *Server) Close() error {
	return errors.Wrap(s.http.Close(), "close the admin surface")
}
