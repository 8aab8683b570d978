package httpcall

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
)

// Transport sends HTTP/1.1 requests and returns only valid responses; see checkHead. All that
// reads responses of other processes uses it, since net/http lets some invalid ones pass.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport that uses base, which must not be used otherwise. The
// lines of a header are bounded by maxHeaderLines; see Config.MaxHeaderLines.
func NewTransport(base *http.Transport, maxHeaderLines int64) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, maxHeadLines: maxHeaderLines}, nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	return t.roundTrip(req, &connTracker{})
}

// roundTrip sends a request and records its connections in the tracker. An invalid response
// is an error, and its connection is closed.
func (t *Transport) roundTrip(req *http.Request, tracker *connTracker) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: tracker.gotConn, Got1xxResponse: tracker.gotInterim}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	tracker.endHeads()
	if err != nil {
		return nil, err
	}
	err = checkHead(resp)
	if err == nil && !resp.ProtoAtLeast(1, 1) && tracker.namesEncoding() {
		err = errFramingUnknown
	}
	if err != nil {
		// A connection whose response has no body may be in the pool again already.
		tracker.closeAll()
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// connTracker records the connections that the transport gave to one request.
type connTracker struct {
	mu        sync.Mutex
	handovers []handover
	// interims counts the interim responses.
	interims int
}

// handover is a connection together with the number of writes on it at the time
// when the request got it. A nil conn is a connection whose writes are unknown.
type handover struct {
	conn         *countedConn
	writesBefore uint64
}

// gotConn is called by the transport when it gives a connection to the request.
func (t *connTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		t.handovers = append(t.handovers, handover{})
		return
	}
	t.handovers = append(t.handovers, handover{conn: conn, writesBefore: conn.writeCount()})
	conn.beginHead()
}

// endHeads says that the header of the response has arrived, or never will.
func (t *connTracker) endHeads() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.handovers {
		if h.conn != nil {
			h.conn.inHead.Store(false)
		}
	}
}

// gotInterim is called for each response that precedes the final one. An error ends the
// request.
func (t *connTracker) gotInterim(_ int, header textproto.MIMEHeader) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.interims++
	if t.interims > maxInterims {
		return errTooManyInterims
	}
	return checkFieldNames(header)
}

// namesEncoding reports whether the final response names a transfer encoding.
func (t *connTracker) namesEncoding() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.handovers) == 0 {
		return false
	}
	last := t.handovers[len(t.handovers)-1]
	return last.conn != nil && last.conn.namesEncoding(t.interims)
}

// closeAll closes the connections of the request.
func (t *connTracker) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.handovers {
		if h.conn != nil {
			_ = h.conn.Close() // it may be closed already
		}
	}
}

// failureKind returns ErrNotSent if no connection was written to since the
// request got it, and makes sure that none will be. Otherwise, or in doubt, it
// returns ErrResponseLost.
func (t *connTracker) failureKind() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.handovers {
		if h.conn == nil || !h.conn.closeIfUnwritten(h.writesBefore) {
			return ErrResponseLost
		}
	}
	return ErrNotSent
}
