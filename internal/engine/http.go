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

// These are the paths of the protocol between hosts and engines.
const (
	// PathGenerate starts an attempt and returns its answer as a stream.
	PathGenerate = "/v1/chat/completions"
	// PathStreams, followed by the request and the attempt, resumes a stream.
	PathStreams = "/v1/streams"
	// PathReserve reserves KV memory.
	PathReserve = "/kv/reserve"
	// PathPrefill makes a member of a group process its share of a prompt.
	PathPrefill = "/kv/prefill"
	// PathExport and PathImport transfer leading blocks of a prompt between caches.
	PathExport = "/kv/export"
	PathImport = "/kv/import"
	// PathCancel cancels work; PathWork lists the work that holds memory.
	PathCancel = "/work/cancel"
	PathWork   = "/work"
	// PathLoad returns the load report, PathCacheEvents the cache events.
	PathLoad        = "/load"
	PathCacheEvents = "/cache/events"
	// PathOrders accepts orders; PathStatus returns the Status.
	PathOrders = "/orders"
	PathStatus = "/status"
)

// maxAnswerBytes is the largest number of bytes read of an answer that is not a
// stream.
const maxAnswerBytes = 16 << 20

// HTTPClient is a Client that uses the HTTP protocol described in
// docs/ENGINES.md. The context of a call bounds the call and, for Generate and
// Resume, also the stream that it returns.
type HTTPClient struct {
	httpClient *httpcall.Client
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns an HTTPClient with its own connection pools.
func NewHTTPClient(config httpcall.Config) *HTTPClient {
	return &HTTPClient{httpClient: httpcall.New(config)}
}

// Close closes idle connections.
func (c *HTTPClient) Close() { c.httpClient.Close() }

// RemovePool closes the connections to an engine that no longer exists and
// removes their pool.
func (c *HTTPClient) RemovePool(address string) { c.httpClient.RemovePool(address) }

// Reserve implements Client.
func (c *HTTPClient) Reserve(ctx context.Context, address string, r Reservation) error {
	return c.post(ctx, address, PathReserve, r, nil, false)
}

// Cancel implements Client. It always opens a new connection.
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
		return nil, clientError{kinds: []error{ErrNotRun}, operation: "encode request", cause: err}
	}
	return c.openStream(ctx, httpcall.Call{
		Method: http.MethodPost, Address: address, Path: PathGenerate,
		Header: jsonHeader(), Body: body, BodyLength: length,
	})
}

// Resume implements Client. It always opens a new connection and closes the idle
// connections to the engine, since the stream's connection may not be the only
// one that has become silent.
func (c *HTTPClient) Resume(ctx context.Context, address string, work WorkID, offset int) (Stream, error) {
	path := PathStreams + "/" + url.PathEscape(work.Request) + "/" +
		strconv.FormatUint(uint64(work.Attempt), 10) + "?offset=" + strconv.Itoa(offset)
	c.httpClient.CloseIdle(address)
	return c.openStream(ctx, httpcall.Call{Method: http.MethodGet, Address: address, Path: path, NewConnection: true})
}

// openStream sends a call and returns its answer as a stream of events.
func (c *HTTPClient) openStream(ctx context.Context, call httpcall.Call) (Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := c.httpClient.Do(ctx, call)
	operation := call.Method + " " + call.Address + call.Path
	if err != nil {
		cancel()
		return nil, transportError(operation, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer resp.Body.Close()
		return nil, answerError(operation, resp)
	}
	return newEventStream(resp.Body, cancel), nil
}

// post sends the JSON encoding of in and decodes the answer into out, unless out
// is nil.
func (c *HTTPClient) post(ctx context.Context, address, path string, in, out any, newConnection bool) error {
	body, err := json.Marshal(in)
	if err != nil {
		return clientError{kinds: []error{ErrNotRun}, operation: "encode body of " + path, cause: err}
	}
	return c.roundTrip(ctx, httpcall.Call{
		Method: http.MethodPost, Address: address, Path: path, Header: jsonHeader(),
		Body: bytes.NewReader(body), BodyLength: int64(len(body)), NewConnection: newConnection,
	}, out)
}

// get sends a GET request and decodes the JSON answer into out.
func (c *HTTPClient) get(ctx context.Context, address, path string, out any) error {
	return c.roundTrip(ctx, httpcall.Call{Method: http.MethodGet, Address: address, Path: path}, out)
}

// roundTrip sends a call and decodes the JSON answer into out, unless out is nil.
// An answer that can't be read counts as ErrOutcomeUnknown.
func (c *HTTPClient) roundTrip(ctx context.Context, call httpcall.Call, out any) error {
	operation := call.Method + " " + call.Address + call.Path
	resp, err := c.httpClient.Do(ctx, call)
	if err != nil {
		return transportError(operation, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return answerError(operation, resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err == nil && out != nil {
		err = json.Unmarshal(data, out)
	}
	if err != nil {
		return clientError{kinds: []error{ErrOutcomeUnknown}, operation: operation, cause: errors.Wrap(err, "read answer")}
	}
	return nil
}

func jsonHeader() http.Header {
	return http.Header{"Content-Type": {"application/json"}}
}
