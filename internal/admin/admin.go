// Package admin is the operators' HTTP surface of a process, on an address of
// its own: status, metrics, a dump of the state, and the account of a request.
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

const (
	readTimeout    = 5 * time.Second
	inspectTimeout = 5 * time.Second
	maxHeaderBytes = 16 << 10
)

// Status is a process's account of itself.
type Status struct {
	Host          string `json:"host"`
	DataCentre    string `json:"data_centre"`
	ConfigVersion uint64 `json:"config_version"`
	Ready         bool   `json:"ready"`
	Draining      bool   `json:"draining"`
	// Holder says that a controller holds its data centre's lease.
	Holder bool `json:"holder,omitempty"`
}

// Source gives what the surface shows.
type Source interface {
	// Status returns the process's status.
	Status(ctx context.Context) (Status, error)
	// Dump returns the process's state as a value for JSON, bounded in size.
	Dump(ctx context.Context) (any, error)
}

// Server is the admin surface of one process.
type Server struct {
	http *http.Server
}

// NewServer returns a server; account may be nil where a process keeps none.
func NewServer(source Source, set *telemetry.Registry, account *journal.Journal) *Server {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.GET("/status", func(c echo.Context) error {
		return answer(c, func(ctx context.Context) (any, error) { return source.Status(ctx) })
	})
	e.GET("/dump", func(c echo.Context) error { return answer(c, source.Dump) })
	e.GET("/metrics", func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
		return set.Write(c.Response())
	})
	if account != nil {
		e.GET("/account/:request", func(c echo.Context) error { return showAccount(c, account) })
	}
	return &Server{http: &http.Server{Handler: e, ReadTimeout: readTimeout, MaxHeaderBytes: maxHeaderBytes}}
}

func answer(c echo.Context, get func(context.Context) (any, error)) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), inspectTimeout)
	defer cancel()
	value, err := get(ctx)
	if err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.JSON(http.StatusOK, value)
}

func showAccount(c echo.Context, account *journal.Journal) error {
	entries := account.Entries(c.Param("request"))
	if entries == nil {
		return c.JSON(http.StatusNotFound, []journal.Entry{})
	}
	return c.JSON(http.StatusOK, entries)
}

// Serve answers until Close.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve the admin surface")
}

// Close stops the server.
func (s *Server) Close() error {
	return errors.Wrap(s.http.Close(), "close the admin surface")
}
