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
)

// DefaultTimeout bounds one call of a Client.
const DefaultTimeout = 2 * time.Second

const (
	// idleConnections is how many open connections a Client keeps for reuse.
	idleConnections = 32
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 30 * time.Second
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// BaseURL is the object API's address, such as "http://127.0.0.1:7000".
	BaseURL string
	// Timeout bounds one call, without a watch's own wait. Shorter finds
	// silent connections sooner, longer rides out a slow store. 0 means
	// DefaultTimeout.
	Timeout time.Duration
	// DataCentre is the caller's own; the list of hosts gives addresses as seen from it.
	DataCentre string
}

// Client is the HTTP adapter of Store and Directory. It never repeats a call:
// ErrUnavailable and ErrThrottled prove that the call had no effect, after
// ErrUnknown a write may have been applied and has to be read back.
type Client struct {
	base       *url.URL
	timeout    time.Duration
	dataCentre string
	http       *http.Client
	transport  *http.Transport
	list       hostList
}

// NewClient returns a Client, or an error when the base URL can't be used.
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
	t := &http.Transport{
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{
		base:       base,
		timeout:    c.Timeout,
		dataCentre: c.DataCentre,
		http:       &http.Client{Transport: t},
		transport:  t,
	}, nil
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Get returns one object or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	a, err := c.call(ctx, c.timeout, http.MethodGet, PathObject, url.Values{"key": {key}}, nil)
	if err != nil {
		return Object{}, errors.Wrapf(err, "get object %q", key)
	}
	return Object{Key: key, Version: a.version, Value: a.body}, nil
}

// Put writes conditionally.
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

// Delete removes conditionally.
func (c *Client) Delete(ctx context.Context, key string, base uint64) error {
	query := url.Values{"key": {key}, "base": {formatVersion(base)}}
	_, err := c.call(ctx, c.timeout, http.MethodDelete, PathObject, query, nil)
	return errors.Wrapf(err, "delete object %q on version %d", key, base)
}

// List returns the objects whose keys start with prefix, ordered by key.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	var objects []Object
	err := c.read(ctx, c.timeout, PathObjects, url.Values{"prefix": {prefix}}, &objects)
	return objects, errors.Wrapf(err, "list objects under %q", prefix)
}

// Watch waits for changes under prefix later than version after.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Object, uint64, error) {
	query := url.Values{
		"prefix":  {prefix},
		"after":   {formatVersion(after)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var answer WatchAnswer
	if err := c.read(ctx, wait+c.timeout, PathWatch, query, &answer); err != nil {
		return nil, 0, errors.Wrapf(err, "watch objects under %q", prefix)
	}
	return answer.Objects, answer.Reached, nil
}

// hostList is the list of hosts as read last.
type hostList struct {
	mu    sync.Mutex
	tag   string
	hosts []Host
}

// Hosts returns the platform's list with addresses as seen from the caller's
// data centre. A list that has not changed since the last call is not sent
// again; callers must not change the one returned.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	c.list.mu.Lock()
	defer c.list.mu.Unlock()
	query := url.Values{"data_centre": {c.dataCentre}}
	a, err := c.callIf(ctx, c.timeout, http.MethodGet, PathHosts, query, nil, c.list.tag)
	if err != nil {
		return nil, errors.Wrap(err, "list hosts")
	}
	if a.unchanged {
		return c.list.hosts, nil
	}
	var hosts []Host
	if err := json.Unmarshal(a.body, &hosts); err != nil {
		return nil, errors.Wrapf(ErrUnknown, "list hosts: decode the answer: %v", err)
	}
	c.list.tag, c.list.hosts = a.tag, hosts
	return hosts, nil
}

func (c *Client) read(ctx context.Context, timeout time.Duration, path string, query url.Values, into any) error {
	a, err := c.call(ctx, timeout, http.MethodGet, path, query, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(a.body, into); err != nil {
		return errors.Wrapf(ErrUnknown, "decode the answer: %v", err)
	}
	return nil
}

type answer struct {
	body    []byte
	version uint64
	// tag names the content; unchanged says that it is the one asked about.
	tag       string
	unchanged bool
}

func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, query url.Values, body []byte) (answer, error) {
	return c.callIf(ctx, timeout, method, path, query, body, "")
}

// callIf makes a call that is answered without content while the content
// still has the tag given.
func (c *Client) callIf(ctx context.Context, timeout time.Duration, method, path string, query url.Values, body []byte, tag string) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	target := c.base.JoinPath(path)
	target.RawQuery = query.Encode()
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, target.String(), bytes.NewReader(body))
	if err != nil {
		return answer{}, errors.Wrapf(ErrUnavailable, "form the request: %v", err)
	}
	r.Header.Set(DataCentreHeader, c.dataCentre)
	if tag != "" {
		r.Header.Set("If-None-Match", tag)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return answer{}, c.lost(ctx, sent.Load(), err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, c.lost(ctx, true, err)
	}
	if tag != "" && response.StatusCode == http.StatusNotModified {
		return answer{unchanged: true}, nil
	}
	if err := ErrorOf(response.StatusCode); err != nil {
		return answer{}, errors.Wrapf(err, "answered status %d", response.StatusCode)
	}
	version, _ := strconv.ParseUint(response.Header.Get(VersionHeader), 10, 64)
	return answer{body: content, version: version, tag: response.Header.Get("ETag")}, nil
}

// lost classifies a call without an answer. After a timeout the other open
// connections may be silent as well, so the next calls open new ones.
func (c *Client) lost(ctx context.Context, sent bool, cause error) error {
	if ctx.Err() != nil {
		c.transport.CloseIdleConnections()
	}
	if !sent {
		return errors.Wrapf(ErrUnavailable, "never sent: %v", cause)
	}
	return errors.Wrapf(ErrUnknown, "no answer: %v", cause)
}

func formatVersion(v uint64) string {
	return strconv.FormatUint(v, 10)
}
