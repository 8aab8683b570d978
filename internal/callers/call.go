package callers

import (
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"github.com/chestnutline/chestnutline/internal/engine"
	"github.com/chestnutline/chestnutline/internal/traffic"
)

// headerReplayed marks an answer that was recorded for an earlier request with
// the same idempotency key.
const headerReplayed = "Idempotency-Replayed"

// serveServiceCall handles a request to a plain service. If the header for the
// kind is missing, the kind in the path is used. A header that differs from the
// path is a finding.
func (s *Server) serveServiceCall(c echo.Context) error {
	arrived := s.cfg.Clock.Now()
	id, catalogue, refused := s.beginRequest(c)
	if refused != nil {
		return refused.write(c)
	}
	data, refused := s.readBody(c, id, MaxCallBytes)
	if refused != nil {
		return refused.write(c)
	}
	service, kind := c.Param("service"), c.Param("kind")
	k := checker{catalogue: catalogue}
	k.checkService(service)
	h := c.Request().Header.Clone()
	if len(h.Values(headerKind)) == 0 {
		h.Set(headerKind, kind)
	} else if h.Get(headerKind) != kind {
		k.addFinding("header "+headerKind, "differs from the kind %q in the path", kind)
	}
	headers := k.checkHeaders(h, service)
	if p := k.problemOfFindings(id); p != nil {
		return p.write(c)
	}
	x := traffic.NewExchange(c.Request().Context(), id, s.cfg.Clock.ToWall(arrived+headers.timeLimit))
	x.Call = &traffic.ServiceCall{Kind: kind, Body: data, IdempotencyKey: headers.idempotencyKey}
	if headers.kind.NeverRepeat {
		x.Call.Action = &traffic.Action{
			Organisation: headers.organisation.Name,
			Kind:         kind,
			Key:          headers.idempotencyKey,
			Fingerprint:  xxhash.Sum64(data),
			RequestID:    id,
			Deadline:     x.Deadline,
		}
	}
	e := s.arrivedEvent(id, headers, arrived+headers.timeLimit)
	e.Service = service
	s.cfg.Executor.Register(x)
	s.cfg.Post(e)
	r := s.awaitResult(c, x, func(engine.Piece) error { return nil })
	if r.Code != "" {
		return newResultProblem(id, r).write(c)
	}
	if r.Answer.Replayed {
		c.Response().Header().Set(headerReplayed, "true")
	}
	return c.Blob(max(r.Answer.Status, http.StatusOK), echo.MIMEApplicationJSON, r.Answer.Body)
}

// checkService adds a finding if the service does not exist.
func (k *checker) checkService(name string) {
	if !k.catalogue.services[name] {
		k.unknownName = true
		k.addFinding("path", "%q is not a known service", name)
	}
}
