package platform

import (
	"net/http"

	"github.com/pkg/errors"
)

// Paths and headers of the object API over HTTP. The calls, with their query
// parameters, are:
//
//	GET    /object?key=K                          value as the body, its version in VersionHeader
//	PUT    /object?key=K&base=V                   body is the value; answers the new version in VersionHeader
//	DELETE /object?key=K&base=V
//	GET    /objects?prefix=P                      JSON list of Object
//	GET    /watch?prefix=P&after=V&wait_ms=N      JSON WatchAnswer
//	GET    /hosts?data_centre=D                   JSON list of Host
const (
	PathObject  = "/object"
	PathObjects = "/objects"
	PathWatch   = "/watch"
	PathHosts   = "/hosts"

	// VersionHeader is the response header with an object's version.
	VersionHeader = "X-Object-Version"
	// DataCentreHeader is the request header with the data centre that a call comes from.
	DataCentreHeader = "X-Data-Centre"
)

// WatchAnswer is the JSON body of the answer to a watch.
type WatchAnswer struct {
	Objects []Object `json:"objects"`
	// Reached is the version up to which Objects is complete.
	Reached uint64 `json:"reached"`
}

// ErrTooLarge means that the value exceeds MaxValueBytes; the call had no effect.
var ErrTooLarge = errors.New("object value too large")

// errorStatuses maps each error of a Store to its HTTP status.
var errorStatuses = []struct {
	err    error
	status int
}{
	{ErrNotFound, http.StatusNotFound},
	{ErrConflict, http.StatusConflict},
	{ErrThrottled, http.StatusTooManyRequests},
	{ErrUnavailable, http.StatusServiceUnavailable},
	{ErrTooLarge, http.StatusRequestEntityTooLarge},
}

// StatusOf returns the HTTP status for a Store's error and 200 for nil. It
// returns 0 for an error without a status, such as ErrUnknown, for which no
// answer can be sent.
func StatusOf(err error) int {
	if err == nil {
		return http.StatusOK
	}
	for _, s := range errorStatuses {
		if errors.Is(err, s.err) {
			return s.status
		}
	}
	return 0
}

// ErrorOf returns the Store's error for an HTTP status: nil for 200, and
// ErrUnknown for a status that no error has.
func ErrorOf(status int) error {
	if status == http.StatusOK {
		return nil
	}
	for _, s := range errorStatuses {
		if s.status == status {
			return s.err
		}
	}
	return ErrUnknown
}
