package httpcall

import (
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// maxStatus is the highest status of a class that the protocol has.
	maxStatus = 599
	// maxInterims bounds the interim responses to a request.
	maxInterims = 16
)

// Reasons for which a response is invalid.
var (
	errInvalidStatusLine = errors.New("response is not in HTTP/1 or has an invalid reason phrase")
	errInvalidStatus     = errors.New("response has no valid final status")
	errInvalidFieldName  = errors.New("response has a field with an invalid name")
	errFramingUnknown    = errors.New("response in HTTP/1.0 has a transfer encoding")
	errTooManyInterims   = errors.New("too many interim responses")
)

// checkHead returns an error for a response that is none in HTTP/1.1, although net/http
// accepts it: another version of the protocol, a reason phrase with control characters, a
// status that no final response can have (RFC 9110, section 15), which includes
// 101, since no request asks for another protocol, or an invalid field name.
func checkHead(resp *http.Response) error {
	if resp.ProtoMajor != 1 || !httpguts.ValidHeaderFieldValue(resp.Status) {
		return errors.Wrapf(errInvalidStatusLine, "%q", resp.Proto+" "+resp.Status)
	}
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return errors.Wrapf(errInvalidStatus, "status %d", resp.StatusCode)
	}
	return checkFieldNames(resp.Header)
}

// checkFieldNames returns an error for a field whose name is none. net/http accepts names with
// spaces but does not understand them: a space before the colon of Transfer-Encoding or
// Content-Length would leave the framing of the body unknown (RFC 9112, section 5.1).
func checkFieldNames[header ~map[string][]string](h header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(errInvalidFieldName, "field %q", name)
		}
	}
	return nil
}

// encodingScanner finds out which heads in the bytes of a connection name a transfer encoding.
// net/http drops that field from a response in HTTP/1.0 and passes the encoded body on.
type encodingScanner struct {
	// name is the begin of the present line in lower case, length the number of its bytes.
	name   [len(transferEncoding)]byte
	length int
	// head is the number of blank lines so far, and found has a bit for each of the first
	// heads, which is set if the head names an encoding.
	head  int
	found uint32
}

const transferEncoding = "transfer-encoding"

// scan continues with more bytes.
func (s *encodingScanner) scan(p []byte) {
	for _, b := range p {
		switch {
		case b == '\n':
			if s.length == 0 {
				s.head++
			}
			s.length = 0
			continue
		case b == '\r':
			continue
		case s.length < len(s.name):
			if 'A' <= b && b <= 'Z' {
				b += 'a' - 'A'
			}
			s.name[s.length] = b
		}
		s.length++
		if s.length == len(s.name) && string(s.name[:]) == transferEncoding && s.head <= maxInterims {
			s.found |= 1 << s.head
		}
	}
}

// foundIn reports whether a head names an encoding, which a number of others preceded.
func (s *encodingScanner) foundIn(head int) bool { return s.found&(1<<head) != 0 }
