package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/httpcall"
)

// Paths of the protocol towards engines.
const (
	PathGenerate    = "/v1/chat/completions"
	PathStreams     = "/v1/streams"
	PathReserve     = "/kv/reserve"
	PathPrefill     = "/kv/prefill"
	PathExport      = "/kv/export"
	PathImport      = "/kv/import"
	PathCancel      = "/work/cancel"
	PathWork        = "/work"
	PathLoad        = "/load"
	PathCacheEvents = "/cache/events"
	PathOrders      = "/orders"
	PathStatus      = "/status"
)

// maxAnswerBytes bounds an answer other than a stream.
const maxAnswerBytes = 16 << 20

// HTTPClient is the Client that speaks the protocol of docs/ENGINES.md. A
// context bounds a call and, for Generate and Resume, the stream returned.
type HTTPClient struct {
	calls *httpcall.Client
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns an HTTPClient with connections of its own.
func NewHTTPClient(config httpcall.Config) *HTTPClient {
	return &HTTPClient{calls: httpcall.New(config)}
}

// Close closes idle connections.
func (c *HTTPClient) Close() { c.calls.Close() }

// RemovePool drops the connections to an engine that is gone.
func (c *HTTPClient) RemovePool(address string) { c.calls.RemovePool(address) }

// Reserve implements Client.
func (c *HTTPClient) Reserve(ctx context.Context, address string, r Reservation) error {
	return c.post(ctx, address, PathReserve, r, nil, false)
}

// Cancel implements Client. It opens a connection of its own.
func (c *HTTPClient) Cancel(ctx context.Context, address string, work WorkID) error {
	return c.post(ctx, address, PathCancel, WorkRef{Work: work}, nil, true)
}

// Load implements Client.
func (c *HTTPClient) Load(ctx context.Context, address string) (LoadReport, error) {
	var l LoadReport
	err := c.get(ctx, address, PathLoad, &l)
	return l, err
}

// Work implements Client.
func (c *HTTPClient) Work(ctx context.Context, address string) ([]WorkEntry, error) {
	var list WorkList
	err := c.get(ctx, address, PathWork, &list)
	return list.Work, err
}

// CacheEvents implements Client.
func (c *HTTPClient) CacheEvents(ctx context.Context, address string, from uint64) (CacheEvents, error) {
	var events CacheEvents
	err := c.get(ctx, address, PathCacheEvents+"?from="+strconv.FormatUint(from, 10), &events)
	return events, err
}

// Order implements Client.
func (c *HTTPClient) Order(ctx context.Context, address string, o Order) error {
	return c.post(ctx, address, PathOrders, o, nil, false)
}

// Status implements Client.
func (c *HTTPClient) Status(ctx context.Context, address string) (Status, error) {
	var s Status
	err := c.get(ctx, address, PathStatus, &s)
	return s, err
}

// Generate implements Client.
func (c *HTTPClient) Generate(ctx context.Context, address string, r Request) (Stream, error) {
	body, length, err := encodeRequest(r)
	if err != nil {
		return nil, fault{kinds: []error{ErrNotRun}, text: "encode request", cause: err}
	}
	return c.stream(ctx, httpcall.Call{
		Method: http.MethodPost, Address: address, Path: PathGenerate,
		Header: jsonHeader(), Body: body, BodyLength: length,
	})
}

// Resume implements Client. It opens a connection of its own and discards the
// idle ones, since the stream's may not be the only one that is silent.
func (c *HTTPClient) Resume(ctx context.Context, address string, work WorkID, offset int) (Stream, error) {
	path := PathStreams + "/" + url.PathEscape(work.Request) + "/" +
		strconv.FormatUint(uint64(work.Attempt), 10) + "?offset=" + strconv.Itoa(offset)
	c.calls.CloseIdle(address)
	return c.stream(ctx, httpcall.Call{Method: http.MethodGet, Address: address, Path: path, NewConnection: true})
}

func (c *HTTPClient) stream(ctx context.Context, call httpcall.Call) (Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := c.calls.Do(ctx, call)
	what := call.Method + " " + call.Address + call.Path
	if err != nil {
		cancel()
		return nil, transportFault(what, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer resp.Body.Close()
		return nil, answerFault(what, resp)
	}
	return newEventStream(resp.Body, cancel), nil
}

func (c *HTTPClient) post(ctx context.Context, address, path string, in, out any, fresh bool) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fault{kinds: []error{ErrNotRun}, text: "encode body of " + path, cause: err}
	}
	return c.exchange(ctx, httpcall.Call{
		Method: http.MethodPost, Address: address, Path: path, Header: jsonHeader(),
		Body: bytes.NewReader(body), BodyLength: int64(len(body)), NewConnection: fresh,
	}, out)
}

func (c *HTTPClient) get(ctx context.Context, address, path string, out any) error {
	return c.exchange(ctx, httpcall.Call{Method: http.MethodGet, Address: address, Path: path}, out)
}

func (c *HTTPClient) exchange(ctx context.Context, call httpcall.Call, out any) error {
	what := call.Method + " " + call.Address + call.Path
	resp, err := c.calls.Do(ctx, call)
	if err != nil {
		return transportFault(what, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return answerFault(what, resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err == nil && out != nil {
		err = json.Unmarshal(data, out)
	}
	if err != nil {
		return fault{kinds: []error{ErrOutcomeUnknown}, text: what, cause: errors.Wrap(err, "read answer")}
	}
	return nil
}

func jsonHeader() http.Header {
	return http.Header{"Content-Type": {"application/json"}}
}
