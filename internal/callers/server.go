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

// maxHeaderBytes is the largest accepted size of all headers of a request.
const maxHeaderBytes = 16 << 10

// Timeouts bound how long slow or hostile callers can occupy connections.
type Timeouts struct {
	// Header bounds the time to read a request's headers, Body the time to read
	// its body. Longer timeouts tolerate slower network connections, but let
	// connections that send nothing stay open longer.
	Header time.Duration
	Body   time.Duration
	// Write bounds the time of one write of an answer.
	Write time.Duration
	// Idle is the time after which a connection without a request is closed.
	Idle time.Duration
}

// DefaultTimeouts returns timeouts that are long enough for callers with long
// round trips.
func DefaultTimeouts() Timeouts {
	return Timeouts{Header: 5 * time.Second, Body: 30 * time.Second, Write: 10 * time.Second, Idle: 60 * time.Second}
}

// Config contains the parameters of a Server.
type Config struct {
	// Host and Incarnation are parts of the request ids and make them unique
	// across hosts and restarts.
	Host        string
	Incarnation uint64
	Clock       clock.Clock
	Executor    *traffic.Executor
	// Post posts an event to the control thread.
	Post func(dispatch.Event)
	// Catalogue returns the configuration in force; nil while none is known.
	Catalogue func() *Catalogue
	// HasUpstreams reports whether any upstreams are known.
	HasUpstreams func() bool
	// MaxConnections is the largest number of open connections; 0 means no limit.
	MaxConnections int
	// Timeouts are replaced by DefaultTimeouts if they are all zero.
	Timeouts Timeouts
}

// Server is the HTTP server for callers.
type Server struct {
	cfg      Config
	http     *http.Server
	sequence atomic.Uint64
	draining atomic.Bool
}

// NewServer returns a server that does not listen yet; Serve starts it.
func NewServer(cfg Config) *Server {
	if cfg.Timeouts == (Timeouts{}) {
		cfg.Timeouts = DefaultTimeouts()
	}
	s := &Server{cfg: cfg}
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.POST("/v1/chat/completions", s.serveCompletion)
	e.POST("/v1/services/:service/:kind", s.serveServiceCall)
	e.GET("/healthz", s.serveHealth)
	e.GET("/readyz", s.serveReadiness)
	s.http = &http.Server{
		Handler:           e,
		ReadHeaderTimeout: cfg.Timeouts.Header,
		ReadTimeout:       cfg.Timeouts.Header + cfg.Timeouts.Body,
		IdleTimeout:       cfg.Timeouts.Idle,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return s
}

// Serve accepts connections from the listener until Shutdown or Close is called.
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

// Drain makes the readiness check fail. The dispatch core refuses requests that
// still arrive.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Shutdown stops listening and returns once every answer is written, or with an
// error when ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	return errors.Wrap(s.http.Shutdown(ctx), "shut down the callers' server")
}

// Close closes all connections immediately.
func (s *Server) Close() error {
	return errors.Wrap(s.http.Close(), "close the callers' server")
}

// serveHealth answers the liveness check.
func (s *Server) serveHealth(c echo.Context) error {
	return c.String(http.StatusOK, "ok\n")
}

// serveReadiness answers the readiness check. The server is not ready while it
// drains, and until a configuration and upstreams are known.
func (s *Server) serveReadiness(c echo.Context) error {
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

// nextID returns a request id that is unique across all hosts.
func (s *Server) nextID() string {
	n := s.sequence.Add(1)
	return s.cfg.Host + "-" + strconv.FormatUint(s.cfg.Incarnation, 36) + "-" + strconv.FormatUint(n, 36)
}

// beginRequest assigns an id to the request and returns the configuration in
// force. It returns a problem if no configuration is known.
func (s *Server) beginRequest(c echo.Context) (string, *Catalogue, *Problem) {
	id := s.nextID()
	c.Response().Header().Set(headerRequestID, id)
	catalogue := s.cfg.Catalogue()
	if catalogue == nil {
		p := newProblem(id, codeNotReady, dispatch.OutcomeNotRun)
		p.RetryAfter = time.Second
		return id, nil, &p
	}
	return id, catalogue, nil
}

// readBody reads a body of at most limit bytes within the timeout for bodies.
// After a failure the read deadline of the connection stays in place, because the
// HTTP library reads the rest of the body, which the caller may never send,
// before it writes the answer.
func (s *Server) readBody(c echo.Context, id string, limit int64) ([]byte, *Problem) {
	r := c.Request()
	responseController := http.NewResponseController(c.Response())
	_ = responseController.SetReadDeadline(time.Now().Add(s.cfg.Timeouts.Body))
	if r.ContentLength > limit {
		p := newProblem(id, codeBodyTooLarge, dispatch.OutcomeNotRun)
		p.Detail = "at most " + strconv.FormatInt(limit, 10) + " bytes are accepted"
		return nil, &p
	}
	body := http.MaxBytesReader(c.Response(), r.Body, limit)
	data, err := readAll(body, r.ContentLength)
	if err == nil {
		_ = responseController.SetReadDeadline(time.Time{})
		return data, nil
	}
	code := codeBodyInterrupted
	var tooBig *http.MaxBytesError
	if errors.As(err, &tooBig) {
		code = codeBodyTooLarge
	}
	p := newProblem(id, code, dispatch.OutcomeNotRun)
	p.Detail = err.Error()
	return nil, &p
}

// readAll reads exactly length bytes if the length is known, otherwise up to the
// end.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length <= 0 {
		return io.ReadAll(r)
	}
	data := make([]byte, length)
	_, err := io.ReadFull(r, data)
	return data, err
}

// problemOfFindings returns one problem document with all findings; nil if there
// are none.
func (k *checker) problemOfFindings(id string) *Problem {
	if len(k.findings) == 0 {
		return nil
	}
	code := codeBadRequest
	if k.unknownName {
		code = codeNotKnown
	}
	p := newProblem(id, code, dispatch.OutcomeNotRun)
	p.Findings = k.findings.Sorted()
	return &p
}

// serveCompletion handles a model request.
func (s *Server) serveCompletion(c echo.Context) error {
	arrived := s.cfg.Clock.Now()
	id, catalogue, refused := s.beginRequest(c)
	if refused != nil {
		return refused.write(c)
	}
	data, refused := s.readBody(c, id, MaxBodyBytes)
	if refused != nil {
		return refused.write(c)
	}
	k := checker{catalogue: catalogue}
	headers := k.checkHeaders(c.Request().Header, "")
	body, model := k.decodeBody(data, headers.organisation)
	if p := k.problemOfFindings(id); p != nil {
		return p.write(c)
	}
	x := traffic.NewExchange(c.Request().Context(), id, s.cfg.Clock.ToWall(arrived+headers.timeLimit))
	prompt := body.joinedPrompt()
	x.Request = &engine.Request{
		Model:        engineModelName(body.Model, model),
		Prompt:       prompt,
		PromptTokens: promptTokens(body),
		MaxTokens:    *body.MaxTokens,
	}
	e := s.arrivedEvent(id, headers, arrived+headers.timeLimit)
	e.Model = x.Request.Model
	e.PromptTokens = x.Request.PromptTokens
	e.MaxTokens = x.Request.MaxTokens
	e.PrefixHashes = engine.PrefixHashes(prompt, maxPrefixBlocks)
	e.BlockTokens = engine.PrefixBlockTokens
	s.cfg.Executor.Register(x)
	s.cfg.Post(e)
	if body.Stream {
		return s.streamAnswer(c, x, body.Model)
	}
	return s.writeWholeAnswer(c, x, body.Model)
}

// maxPrefixBlocks is the largest number of prefix blocks of a prompt that are
// looked up in the engines' prefix caches.
const maxPrefixBlocks = 64

// arrivedEvent returns the event that announces the request to the dispatch core,
// without the fields of its upstream.
func (s *Server) arrivedEvent(id string, headers headerValues, deadline time.Duration) dispatch.Arrived {
	return dispatch.Arrived{
		ID:           id,
		Organisation: headers.organisation.Name,
		Share:        headers.organisation.Share,
		MaxInFlight:  headers.organisation.MaxInFlight,
		Kind:         headers.kind.Name,
		KindPriority: headers.kind.Priority,
		NeverRepeat:  headers.kind.NeverRepeat,
		Deadline:     deadline,
	}
}
