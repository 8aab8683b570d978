package callers

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"golang.org/x/net/netutil"

	"github.com/chestnutline/chestnutline/internal/clock"
	"github.com/chestnutline/chestnutline/internal/dispatch"
	"github.com/chestnutline/chestnutline/internal/engine"
	"github.com/chestnutline/chestnutline/internal/traffic"
)

// maxHeaderBytes bounds the headers of a request.
const maxHeaderBytes = 16 << 10

// Timeouts bound what slow or hostile callers can hold.
type Timeouts struct {
	// Header bounds the reading of a request's headers, Body that of its body.
	// Longer tolerates slower lines, and lets idle connections stay longer.
	Header time.Duration
	Body   time.Duration
	// Write bounds one write of an answer.
	Write time.Duration
	// Idle closes connections without a request.
	Idle time.Duration
}

// DefaultTimeouts returns the timeouts for callers anywhere.
func DefaultTimeouts() Timeouts {
	return Timeouts{Header: 5 * time.Second, Body: 30 * time.Second, Write: 10 * time.Second, Idle: 60 * time.Second}
}

// Config holds what a Server needs.
type Config struct {
	// Host and Incarnation make request ids unique.
	Host        string
	Incarnation uint64
	Clock       clock.Clock
	Executor    *traffic.Executor
	// Post hands an event to the control thread.
	Post func(dispatch.Event)
	// Catalogue returns the configuration in force, nil while there is none.
	Catalogue func() *Catalogue
	// HasUpstreams says whether any upstreams are known.
	HasUpstreams func() bool
	// MaxConnections bounds the open connections; 0 is no bound.
	MaxConnections int
	// Timeouts are the default ones if zero.
	Timeouts Timeouts
}

// Server answers callers.
type Server struct {
	cfg      Config
	http     *http.Server
	sequence atomic.Uint64
	draining atomic.Bool
}

// NewServer returns a server; Serve starts it.
func NewServer(cfg Config) *Server {
	if cfg.Timeouts == (Timeouts{}) {
		cfg.Timeouts = DefaultTimeouts()
	}
	s := &Server{cfg: cfg}
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.POST("/v1/chat/completions", s.complete)
	e.POST("/v1/services/:service/:kind", s.call)
	e.GET("/healthz", s.health)
	e.GET("/readyz", s.ready)
	s.http = &http.Server{
		Handler:           e,
		ReadHeaderTimeout: cfg.Timeouts.Header,
		ReadTimeout:       cfg.Timeouts.Header + cfg.Timeouts.Body,
		IdleTimeout:       cfg.Timeouts.Idle,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return s
}

// Serve answers connections until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	if s.cfg.MaxConnections > 0 {
		l = netutil.LimitListener(l, s.cfg.MaxConnections)
	}
	err := s.http.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// Drain makes the server unready; requests still arriving are refused by the core.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Shutdown stops listening and returns once every answer is written.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	return errors.Wrap(s.http.Shutdown(ctx), "shut down the callers' server")
}

// Close ends every connection at once.
func (s *Server) Close() error {
	return errors.Wrap(s.http.Close(), "close the callers' server")
}

func (s *Server) health(c echo.Context) error {
	return c.String(http.StatusOK, "ok\n")
}

func (s *Server) ready(c echo.Context) error {
	if s.draining.Load() {
		return c.String(http.StatusServiceUnavailable, "stopping\n")
	}
	if s.cfg.Catalogue() == nil {
		return c.String(http.StatusServiceUnavailable, "no configuration is known\n")
	}
	if !s.cfg.HasUpstreams() {
		return c.String(http.StatusServiceUnavailable, "no list of upstreams is known\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// nextID returns an id that no other request of any host has.
func (s *Server) nextID() string {
	n := s.sequence.Add(1)
	return s.cfg.Host + "-" + strconv.FormatUint(s.cfg.Incarnation, 36) + "-" + strconv.FormatUint(n, 36)
}

// begin gives the request an id and the configuration in force.
func (s *Server) begin(c echo.Context) (string, *Catalogue, *Problem) {
	id := s.nextID()
	c.Response().Header().Set(headerRequestID, id)
	catalogue := s.cfg.Catalogue()
	if catalogue == nil {
		p := problem(id, codeNotReady, dispatch.OutcomeNotRun)
		p.RetryAfter = time.Second
		return id, nil, &p
	}
	return id, catalogue, nil
}

// readBody reads at most limit bytes within the timeout for bodies. After a
// failure the connection keeps the timeout, since the library reads on what the
// caller has not sent before it answers.
func (s *Server) readBody(c echo.Context, id string, limit int64) ([]byte, *Problem) {
	r := c.Request()
	controller := http.NewResponseController(c.Response())
	_ = controller.SetReadDeadline(time.Now().Add(s.cfg.Timeouts.Body))
	if r.ContentLength > limit {
		p := problem(id, codeTooBig, dispatch.OutcomeNotRun)
		p.Detail = "at most " + strconv.FormatInt(limit, 10) + " bytes are accepted"
		return nil, &p
	}
	body := http.MaxBytesReader(c.Response(), r.Body, limit)
	data, err := readAll(body, r.ContentLength)
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		return data, nil
	}
	code := codeInterrupted
	var tooBig *http.MaxBytesError
	if errors.As(err, &tooBig) {
		code = codeTooBig
	}
	p := problem(id, code, dispatch.OutcomeNotRun)
	p.Detail = err.Error()
	return nil, &p
}

func readAll(r io.Reader, length int64) ([]byte, error) {
	if length <= 0 {
		return io.ReadAll(r)
	}
	data := make([]byte, length)
	_, err := io.ReadFull(r, data)
	return data, err
}

// problemOf reports all findings of a request together.
func (k *checker) problemOf(id string) *Problem {
	if len(k.findings) == 0 {
		return nil
	}
	code := codeBadRequest
	if k.unknown {
		code = codeNotKnown
	}
	p := problem(id, code, dispatch.OutcomeNotRun)
	p.Findings = k.findings.Sorted()
	return &p
}

// complete serves a model request.
func (s *Server) complete(c echo.Context) error {
	arrived := s.cfg.Clock.Now()
	id, catalogue, refused := s.begin(c)
	if refused != nil {
		return refused.write(c)
	}
	data, refused := s.readBody(c, id, MaxBodyBytes)
	if refused != nil {
		return refused.write(c)
	}
	k := checker{catalogue: catalogue}
	t := k.headers(c.Request().Header, "")
	body, model := k.body(data, t.organisation)
	if p := k.problemOf(id); p != nil {
		return p.write(c)
	}
	x := traffic.NewExchange(c.Request().Context(), id, s.cfg.Clock.ToWall(arrived+t.limit))
	prompt := body.prompt()
	x.Request = &engine.Request{
		Model:        engineModel(body.Model, model),
		Prompt:       prompt,
		PromptTokens: promptTokens(body),
		MaxTokens:    *body.MaxTokens,
	}
	e := s.arrival(id, t, arrived+t.limit)
	e.Model = x.Request.Model
	e.PromptTokens = x.Request.PromptTokens
	e.MaxTokens = x.Request.MaxTokens
	e.PrefixHashes = engine.PrefixHashes(prompt, maxPrefixBlocks)
	e.BlockTokens = engine.PrefixBlockTokens
	s.cfg.Executor.Register(x)
	s.cfg.Post(e)
	if body.Stream {
		return s.stream(c, x, body.Model)
	}
	return s.whole(c, x, body.Model)
}

// maxPrefixBlocks bounds the prompt prefixes that are compared with caches.
const maxPrefixBlocks = 64

func (s *Server) arrival(id string, t terms, deadline time.Duration) dispatch.Arrived {
	return dispatch.Arrived{
		ID:           id,
		Organisation: t.organisation.Name,
		Share:        t.organisation.Share,
		MaxInFlight:  t.organisation.MaxInFlight,
		Kind:         t.kind.Name,
		KindPriority: t.kind.Priority,
		NeverRepeat:  t.kind.NeverRepeat,
		Deadline:     deadline,
	}
}
