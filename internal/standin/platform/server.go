package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/finding"
	"github.com/chestnutline/chestnutline/internal/platform"
)

// Control paths of the stand-in, which the real platform does not have. Calls to
// them are neither rate limited nor counted.
//
//	GET  /stats    JSON Stats
//	GET  /faults   JSON Faults in force
//	POST /faults   JSON Faults; replaces all of them
//	PUT  /hosts    JSON list of HostEntry; replaces the whole list
const (
	PathStats  = "/stats"
	PathFaults = "/faults"
)

// Server makes a Store available over HTTP.
type Server struct {
	store *Store
	echo  *echo.Echo
}

// NewServer returns a Server with an empty Store.
func NewServer(config Config) *Server {
	s := &Server{store: NewStore(config), echo: echo.New()}
	s.echo.GET(platform.PathObject, s.get)
	s.echo.PUT(platform.PathObject, s.put)
	s.echo.DELETE(platform.PathObject, s.delete)
	s.echo.GET(platform.PathObjects, s.list)
	s.echo.GET(platform.PathWatch, s.watch)
	s.echo.GET(platform.PathHosts, s.hosts)
	s.echo.PUT(platform.PathHosts, s.setHosts)
	s.echo.GET(PathStats, s.stats)
	s.echo.GET(PathFaults, s.faults)
	s.echo.POST(PathFaults, s.setFaults)
	return s
}

// Handler returns the handler of the object API and the control paths.
func (s *Server) Handler() http.Handler {
	return s.echo
}

// Store returns the Store of the server, for tests in the same process.
func (s *Server) Store() *Store {
	return s.store
}

// Inspect returns all objects, ordered by key, as Store.Inspect does.
func (s *Server) Inspect() []platform.Object {
	return s.store.Inspect()
}

func (s *Server) get(c echo.Context) error {
	object, err := s.viewFor(c).Get(c.Request().Context(), c.QueryParam("key"))
	if err != nil {
		return answerError(c, err)
	}
	setVersion(c, object.Version)
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, object.Value)
}

func (s *Server) put(c echo.Context) error {
	base, problem := queryNumber(c, "base")
	if problem != nil {
		return answerMalformed(c, problem)
	}
	value, err := io.ReadAll(io.LimitReader(c.Request().Body, platform.MaxValueBytes+1))
	if err != nil {
		return answerError(c, platform.ErrUnknown)
	}
	if len(value) > platform.MaxValueBytes {
		return answerError(c, platform.ErrTooLarge)
	}
	object, err := s.viewFor(c).Put(c.Request().Context(), c.QueryParam("key"), value, base)
	if err != nil {
		return answerError(c, err)
	}
	setVersion(c, object.Version)
	return c.NoContent(http.StatusOK)
}

func (s *Server) delete(c echo.Context) error {
	base, problem := queryNumber(c, "base")
	if problem != nil {
		return answerMalformed(c, problem)
	}
	if err := s.viewFor(c).Delete(c.Request().Context(), c.QueryParam("key"), base); err != nil {
		return answerError(c, err)
	}
	return c.NoContent(http.StatusOK)
}

func (s *Server) list(c echo.Context) error {
	objects, err := s.viewFor(c).List(c.Request().Context(), c.QueryParam("prefix"))
	if err != nil {
		return answerError(c, err)
	}
	return c.JSON(http.StatusOK, objects)
}

func (s *Server) watch(c echo.Context) error {
	after, problem := queryNumber(c, "after")
	if problem != nil {
		return answerMalformed(c, problem)
	}
	wait, problem := queryNumber(c, "wait_ms")
	if problem != nil {
		return answerMalformed(c, problem)
	}
	objects, reached, err := s.viewFor(c).Watch(c.Request().Context(), c.QueryParam("prefix"), after, milliseconds(int(wait)))
	if err != nil {
		return answerError(c, err)
	}
	return c.JSON(http.StatusOK, platform.WatchAnswer{Objects: objects, Reached: reached})
}

func (s *Server) hosts(c echo.Context) error {
	hosts, err := s.store.ViewFrom(c.QueryParam("data_centre")).Hosts(c.Request().Context())
	if err != nil {
		return answerError(c, err)
	}
	body, err := json.Marshal(hosts)
	if err != nil {
		return errors.Wrap(err, "encode the list of hosts")
	}
	etag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(body), 16))
	c.Response().Header().Set("ETag", etag)
	if c.Request().Header.Get("If-None-Match") == etag {
		return c.NoContent(http.StatusNotModified)
	}
	return c.JSONBlob(http.StatusOK, body)
}

func (s *Server) setHosts(c echo.Context) error {
	var hosts []HostEntry
	if err := json.NewDecoder(c.Request().Body).Decode(&hosts); err != nil {
		return answerMalformed(c, finding.List{{Place: "body", Problem: "must be a JSON list of hosts"}})
	}
	s.store.SetHosts(hosts)
	return c.NoContent(http.StatusOK)
}

func (s *Server) stats(c echo.Context) error {
	return c.JSON(http.StatusOK, s.store.Stats())
}

func (s *Server) faults(c echo.Context) error {
	s.store.mu.Lock()
	faults := s.store.faults
	s.store.mu.Unlock()
	return c.JSON(http.StatusOK, faults)
}

func (s *Server) setFaults(c echo.Context) error {
	var faults Faults
	if err := json.NewDecoder(c.Request().Body).Decode(&faults); err != nil {
		return answerMalformed(c, finding.List{{Place: "body", Problem: "must be JSON faults"}})
	}
	if findings := faults.Validate(); len(findings) > 0 {
		return answerMalformed(c, findings)
	}
	s.store.SetFaults(faults)
	return c.NoContent(http.StatusOK)
}

func (s *Server) viewFor(c echo.Context) *View {
	return s.store.ViewFrom(c.Request().Header.Get(platform.DataCentreHeader))
}

// answerError answers with the HTTP status of the error. For an outcome that has
// no status, such as an unknown one, it drops the connection.
func answerError(c echo.Context, err error) error {
	status := platform.StatusOf(err)
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	return c.String(status, err.Error())
}

// answerMalformed answers with status 400 and the findings as JSON.
func answerMalformed(c echo.Context, findings finding.List) error {
	return c.JSON(http.StatusBadRequest, findings.Sorted())
}

// queryNumber returns a query parameter as a number, or a finding if it is none.
func queryNumber(c echo.Context, name string) (uint64, finding.List) {
	raw := c.QueryParam(name)
	n, err := strconv.ParseUint(raw, 10, 63)
	if err != nil {
		return 0, finding.List{{Place: name, Problem: "must be a whole number, 0 or more"}}
	}
	return n, nil
}

func setVersion(c echo.Context, version uint64) {
	c.Response().Header().Set(platform.VersionHeader, strconv.FormatUint(version, 10))
}
