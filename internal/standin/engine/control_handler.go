package engine

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/chestnutline/chestnutline/internal/standin/fault"
)

func serveFault(c echo.Context, e *Engine) error {
	var command fault.Command
	if err := decodeBody(c, &command); err != nil {
		return err
	}
	if err := e.InjectFault(command); err != nil {
		return badRequest(err.Error())
	}
	return c.JSON(http.StatusOK, emptyAnswer{})
}

func serveCounters(c echo.Context, e *Engine) error {
	return c.JSON(http.StatusOK, e.Counters(c.QueryParam("runs") != ""))
}

// ControlHandler serves the faults and counters of many engines on one address,
// which also answers while an engine is dead. It serves GET /counters for all
// engines, and POST /engines/{name}/faults and GET /engines/{name}/counters for
// one of them.
func ControlHandler(engines []*Engine) http.Handler {
	r := echo.New()
	r.HideBanner, r.HidePort = true, true
	r.HTTPErrorHandler = answerError
	named := func(serve func(echo.Context, *Engine) error) echo.HandlerFunc {
		return func(c echo.Context) error {
			for _, e := range engines {
				if e.Name() == c.Param("name") {
					return serve(c, e)
				}
			}
			return errorAnswer{http.StatusNotFound, "no_engine", "no such engine"}
		}
	}
	r.POST("/engines/:name"+pathFaults, named(serveFault))
	r.GET("/engines/:name"+pathCounters, named(serveCounters))
	r.GET(pathCounters, func(c echo.Context) error {
		all := make([]Counters, len(engines))
		for i, e := range engines {
			all[i] = e.Counters(c.QueryParam("runs") != "")
		}
		return c.JSON(http.StatusOK, all)
	})
	return r
}
