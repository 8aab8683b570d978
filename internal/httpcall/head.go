package httpcall

import (
	"net/http"

	"github.com/pkg/errors"
)

const (
	// maxStatus is the highest status of a class that the protocol has.
	maxStatus = 599
	// maxInterims bounds the interim responses to a request.
	maxInterims = 16
)

// Reasons for which a response is invalid.
var (
	errInvalidStatus   = errors.New("response has no valid final status")
	errTooManyInterims = errors.New("too many interim responses")
)

// checkHead returns an error for a response that is none in HTTP/1.1, although net/http
// accepts it: a status that no final response can have (RFC 9110, section 15), which includes
// 101, since no request asks for another protocol.
func checkHead(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return errors.Wrapf(errInvalidStatus, "status %d", resp.StatusCode)
	}
	return nil
}
