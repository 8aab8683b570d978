package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/httpcall"
)

// DefaultTimeout is the time limit of one call when ClientConfig.Timeout is 0.
const DefaultTimeout = 2 * time.Second

const (
	// idleConnections is the largest number of idle connections to the object
	// API that a Client keeps open for reuse.
	idleConnections = 32
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 30 * time.Second
	// DefaultMaxAnswerBytes is the limit on an answer when ClientConfig.MaxAnswerBytes is 0.
	DefaultMaxAnswerBytes = 64 << 20
)

// ClientConfig holds the settings of a Client.
type ClientConfig struct {
	// BaseURL is the address of the object API, such as "http://127.0.0.1:7000".
	BaseURL string
	// Timeout is the time limit of one call; a watch may take its wait in
	// addition. A shorter timeout detects silent connections sooner, a longer
	// one tolerates a slow store. 0 means DefaultTimeout.
	Timeout time.Duration
	// MaxAnswerBytes bounds the body of an answer, of which all is kept in memory; a larger
	// one counts as none. It must be above the size of the longest list. 0 means
	// DefaultMaxAnswerBytes.
	MaxAnswerBytes int64
	// DataCentre is the caller's own data centre; Hosts returns addresses as
	// they are reachable from it.
	DataCentre string
}

// Client implements Store and Directory over HTTP. It never retries a call.
// ErrUnavailable and ErrThrottled guarantee that the call had no effect. After
// ErrUnknown, a write may have been applied, so the caller has to read the
// object to find out.
type Client struct {
	base       *url.URL
	timeout    time.Duration
	maxAnswer  int64
	dataCentre string
	http       *http.Client
	hostCache  hostListCache
}

// NewClient returns a Client, or an error if the base URL is not an absolute
// http or https URL.
func NewClient(c ClientConfig) (*Client, error) {
	base, err := url.Parse(c.BaseURL)
	if err != nil {
		return nil, errors.Wrapf(err, "read the platform's base URL %q", c.BaseURL)
	}
	if base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		return nil, errors.Errorf("the platform's base URL %q needs the form http://address:port", c.BaseURL)
	}
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	if c.MaxAnswerBytes <= 0 {
		c.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	t := httpcall.NewTransport(&http.Transport{
		MaxIdleConnsPerHost:    idleConnections,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: httpcall.DefaultMaxHeaderBytes,
	}, httpcall.DefaultMaxHeaderLines)
	return &Client{
		base:       base,
		timeout:    c.Timeout,
		maxAnswer:  c.MaxAnswerBytes,
		dataCentre: c.DataCentre,
		http:       &http.Client{Transport: t},
	}, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Get returns the object with the key, or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	a, err := c.call(ctx, c.timeout, http.MethodGet, PathObject, url.Values{"key": {key}}, nil)
	if err != nil {
		return Object{}, errors.Wrapf(err, "get object %q", key)
	}
	return Object{Key: key, Version: a.version, Value: a.body}, nil
}

// Put writes value if the object still has the version base; see Store.Put. A
// value above MaxValueBytes is refused with ErrTooLarge without a call.
func (c *Client) Put(ctx context.Context, key string, value []byte, base uint64) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, errors.Wrapf(ErrTooLarge, "put object %q of %d bytes", key, len(value))
	}
	query := url.Values{"key": {key}, "base": {formatVersion(base)}}
	a, err := c.call(ctx, c.timeout, http.MethodPut, PathObject, query, value)
	if err != nil {
		return Object{}, errors.Wrapf(err, "put object %q on version %d", key, base)
	}
	if a.version == 0 {
		return Object{}, errors.Wrapf(ErrUnknown, "put object %q: the answer has no version", key)
	}
	return Object{Key: key, Version: a.version, Value: value}, nil
}

// Delete removes the object if it still has the version base.
func (c *Client) Delete(ctx context.Context, key string, base uint64) error {
	query := url.Values{"key": {key}, "base": {formatVersion(base)}}
	_, err := c.call(ctx, c.timeout, http.MethodDelete, PathObject, query, nil)
	return errors.Wrapf(err, "delete object %q on version %d", key, base)
}

// List returns the objects whose keys start with prefix, ordered by key.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	var objects []Object
	err := c.getJSON(ctx, c.timeout, PathObjects, url.Values{"prefix": {prefix}}, &objects)
	return objects, errors.Wrapf(err, "list objects under %q", prefix)
}

// Watch waits up to wait for changes to keys that start with prefix and are
// later than the version after; see Store.Watch.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Object, uint64, error) {
	query := url.Values{
		"prefix":  {prefix},
		"after":   {formatVersion(after)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var answer WatchAnswer
	if err := c.getJSON(ctx, wait+c.timeout, PathWatch, query, &answer); err != nil {
		return nil, 0, errors.Wrapf(err, "watch objects under %q", prefix)
	}
	return answer.Objects, answer.Reached, nil
}

// hostListCache holds the list of hosts that the platform sent last, and its ETag.
type hostListCache struct {
	mu    sync.Mutex
	etag  string
	hosts []Host
}

// Hosts returns the platform's list of hosts, with addresses as they are
// reachable from the caller's data centre. The platform does not send a list
// that has not changed since the last call again; Hosts then returns the same
// slice as before, so callers must not modify it.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	c.hostCache.mu.Lock()
	defer c.hostCache.mu.Unlock()
	query := url.Values{"data_centre": {c.dataCentre}}
	a, err := c.callWithETag(ctx, c.timeout, http.MethodGet, PathHosts, query, nil, c.hostCache.etag)
	if err != nil {
		return nil, errors.Wrap(err, "list hosts")
	}
	if a.notModified {
		return c.hostCache.hosts, nil
	}
	var hosts []Host
	if err := json.Unmarshal(a.body, &hosts); err != nil {
		return nil, errors.Wrapf(ErrUnknown, "list hosts: decode the answer: %v", err)
	}
	c.hostCache.etag, c.hostCache.hosts = a.etag, hosts
	return hosts, nil
}

// getJSON makes a GET call and decodes its JSON body into the value that into
// points to. A body that can't be decoded is reported as ErrUnknown.
func (c *Client) getJSON(ctx context.Context, timeout time.Duration, path string, query url.Values, into any) error {
	a, err := c.call(ctx, timeout, http.MethodGet, path, query, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(a.body, into); err != nil {
		return errors.Wrapf(ErrUnknown, "decode the answer: %v", err)
	}
	return nil
}

// apiResponse is a successful answer of the object API.
type apiResponse struct {
	body []byte
	// version is the value of VersionHeader, or 0 if the header is missing or invalid.
	version uint64
	// etag identifies the content.
	etag string
	// notModified is true if the content still has the ETag that the call gave;
	// body is empty then.
	notModified bool
}

// call makes one call without an ETag, so that the answer always has its content.
func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, query url.Values, body []byte) (apiResponse, error) {
	return c.callWithETag(ctx, timeout, method, path, query, body, "")
}

// callWithETag makes one call and returns its answer. With a non-empty etag, the
// answer comes without content while the content still has that ETag.
func (c *Client) callWithETag(ctx context.Context, timeout time.Duration, method, path string, query url.Values, body []byte, etag string) (apiResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// connected is true once the request has a connection. From then on the
	// request may have been sent, even if the call fails.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	target := c.base.JoinPath(path)
	target.RawQuery = query.Encode()
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, target.String(), bytes.NewReader(body))
	if err != nil {
		return apiResponse{}, errors.Wrapf(ErrUnavailable, "form the request: %v", err)
	}
	r.Header.Set(DataCentreHeader, c.dataCentre)
	if etag != "" {
		r.Header.Set("If-None-Match", etag)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return apiResponse{}, c.noAnswerError(ctx, connected.Load(), err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, c.maxAnswer+1))
	if err == nil && int64(len(content)) > c.maxAnswer {
		err = errors.Errorf("answer is longer than %d bytes", c.maxAnswer)
	}
	if err != nil {
		return apiResponse{}, c.noAnswerError(ctx, true, err)
	}
	if etag != "" && response.StatusCode == http.StatusNotModified {
		return apiResponse{notModified: true}, nil
	}
	if err := ErrorOf(response.StatusCode); err != nil {
		return apiResponse{}, errors.Wrapf(err, "answered status %d", response.StatusCode)
	}
	version, _ := strconv.ParseUint(response.Header.Get(VersionHeader), 10, 64)
	return apiResponse{body: content, version: version, etag: response.Header.Get("ETag")}, nil
}

// noAnswerError returns the error for a call without an answer: ErrUnavailable
// if the request was never sent, otherwise ErrUnknown. After a timeout the other
// open connections may be silent as well, so it closes the idle ones and the
// next calls open new ones.
func (c *Client) noAnswerError(ctx context.Context, sent bool, cause error) error {
	if ctx.Err() != nil {
		c.http.CloseIdleConnections()
	}
	if !sent {
		return errors.Wrapf(ErrUnavailable, "never sent: %v", cause)
	}
	return errors.Wrapf(ErrUnknown, "no answer: %v", cause)
}

func formatVersion(v uint64) string {
	return strconv.FormatUint(v, 10)
}
