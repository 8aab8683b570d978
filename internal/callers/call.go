package callers

import (
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"github.com/chestnutline/chestnutline/internal/engine"
	"github.com/chestnutline/chestnutline/internal/traffic"
)

// headerRecorded marks the answer of an earlier request with the same key.
const headerRecorded = "Idempotency-Replayed"

// call serves a request to a plain service.
func (s *Server) call(c echo.Context) error {
	arrived := s.cfg.Clock.Now()
	id, catalogue, refused := s.begin(c)
	if refused != nil {
		return refused.write(c)
	}
	data, refused := s.readBody(c, id, MaxCallBytes)
	if refused != nil {
		return refused.write(c)
	}
	service, kind := c.Param("service"), c.Param("kind")
	k := checker{catalogue: catalogue}
	k.service(service)
	h := c.Request().Header.Clone()
	if len(h.Values(headerKind)) == 0 {
		h.Set(headerKind, kind)
	} else if h.Get(headerKind) != kind {
		k.add("header "+headerKind, "differs from the kind %q in the path", kind)
	}
	t := k.headers(h, service)
	if p := k.problemOf(id); p != nil {
		return p.write(c)
	}
	x := traffic.NewExchange(c.Request().Context(), id, s.cfg.Clock.ToWall(arrived+t.limit))
	x.Call = &traffic.ServiceCall{Kind: kind, Body: data, IdempotencyKey: t.key}
	if t.kind.NeverRepeat {
		x.Call.Action = &traffic.Action{
			Organisation: t.organisation.Name,
			Kind:         kind,
			Key:          t.key,
			Fingerprint:  xxhash.Sum64(data),
			RequestID:    id,
			Deadline:     x.Deadline,
		}
	}
	e := s.arrival(id, t, arrived+t.limit)
	e.Service = service
	s.cfg.Executor.Register(x)
	s.cfg.Post(e)
	r := s.await(c, x, func(engine.Piece) error { return nil })
	if r.Code != "" {
		return resultProblem(id, r).write(c)
	}
	if r.Answer.Replayed {
		c.Response().Header().Set(headerRecorded, "true")
	}
	return c.Blob(max(r.Answer.Status, http.StatusOK), echo.MIMEApplicationJSON, r.Answer.Body)
}

func (k *checker) service(name string) {
	if !k.catalogue.services[name] {
		k.unknown = true
		k.add("path", "%q is not a known service", name)
	}
}
