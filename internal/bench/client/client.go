// Package client sends planned requests to a router as a caller would, over
// HTTP, and checks what comes back.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/bench/answer"
	"github.com/chestnutline/chestnutline/internal/bench/workload"
)

const (
	// idleConnections is how many open connections are kept for each host.
	idleConnections = 1024
	// ioBufferBytes is the buffer of a connection; prompts are megabytes long.
	ioBufferBytes = 64 << 10
	// dialTimeout bounds the connection to a host.
	dialTimeout = 2 * time.Second
	// patience is how long after its limit a request is waited for; a router
	// that keeps silent until then has answered late.
	patience = 10 * time.Second
	// problemBytes bounds a problem document.
	problemBytes = 64 << 10
)

// Client sends requests. It is safe for concurrent use.
type Client struct {
	http  *http.Client
	model string
	pool  *workload.TextPool
	token answer.TokenFunc
}

// New returns a client for callers of one model, whose prompts are cut from
// pool and whose answers have to consist of token's texts.
func New(model string, pool *workload.TextPool, token answer.TokenFunc) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true,
		ReadBufferSize:      ioBufferBytes,
		WriteBufferSize:     ioBufferBytes,
	}
	return &Client{http: &http.Client{Transport: transport}, model: model, pool: pool, token: token}
}

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Sending is one sending of a request to a host.
type Sending struct {
	Request *workload.Request
	// Again says that it is the repeated sending of an action.
	Again bool
	// Address is the host's address for callers.
	Address string
	// Due is the intended arrival.
	Due time.Time
}

// ErrNoConnection says that the host could not be reached; nothing was sent.
var ErrNoConnection = errors.New("no connection to the host")

// Send sends a request and waits for its end. The error is ErrNoConnection,
// so that a balancer may choose another host, or nil.
func (c *Client) Send(ctx context.Context, s Sending) (Outcome, error) {
	r := s.Request
	o := Outcome{Request: r, Again: s.Again, Address: s.Address, Sent: time.Since(s.Due)}
	ctx, cancel := context.WithTimeout(ctx, r.TimeLimit+patience)
	defer cancel()
	call, check, err := c.build(ctx, s)
	if err != nil {
		return o, errors.Wrapf(err, "building request %d", r.Index)
	}
	response, err := c.http.Do(call)
	if err != nil {
		o.End = time.Since(s.Due)
		o.Result, o.Detail = Broken, err.Error()
		if notConnected(err) {
			return o, ErrNoConnection
		}
		return o, nil
	}
	defer response.Body.Close()
	o.Status = response.StatusCode
	o.RequestID = response.Header.Get("X-Request-Id")
	o.HasRetryAfter = response.Header.Get("Retry-After") != ""
	switch {
	case response.StatusCode != http.StatusOK:
		o.problem(response.Body)
	case r.Class == workload.ClassService:
		o.drain(response.Body)
	default:
		o.stream(response.Body, check, s.Due)
	}
	o.End = time.Since(s.Due)
	return o, nil
}

func notConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) build(ctx context.Context, s Sending) (*http.Request, *answer.Checker, error) {
	if s.Request.Class == workload.ClassService {
		call, err := c.service(ctx, s)
		return call, nil, err
	}
	prompt := c.pool.Prompt(s.Request)
	head := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":true,"messages":[{"role":"user","content":"`, c.model, s.Request.AnswerTokens)
	const tail = `"}]}`
	body := func() io.ReadCloser {
		return io.NopCloser(io.MultiReader(bytes.NewReader([]byte(head)), prompt.Reader(), bytes.NewReader([]byte(tail))))
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address+"/v1/chat/completions", body())
	if err != nil {
		return nil, nil, err
	}
	call.ContentLength = int64(len(head) + prompt.Len() + len(tail))
	setHeaders(call, s.Request)
	return call, answer.NewChecker(c.token, prompt.Hash()), nil
}

// serviceBody is the JSON sent to plain services.
type serviceBody struct {
	Reference string `json:"reference"`
}

func (c *Client) service(ctx context.Context, s Sending) (*http.Request, error) {
	body, err := json.Marshal(serviceBody{Reference: strconv.FormatUint(s.Request.TextSeed, 16)})
	if err != nil {
		return nil, err
	}
	path := "/v1/services/" + s.Request.Service + "/" + s.Request.Kind
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// A transport that resends by itself would blur who sent an action twice.
	call.GetBody = nil
	setHeaders(call, s.Request)
	return call, nil
}

func setHeaders(call *http.Request, r *workload.Request) {
	call.Header.Set("Content-Type", "application/json")
	call.Header.Set("X-Organisation", r.Organisation)
	call.Header.Set("X-Request-Kind", r.Kind)
	call.Header.Set("X-Time-Limit-Ms", strconv.FormatInt(r.TimeLimit.Milliseconds(), 10))
	if r.IdempotencyKey != "" {
		call.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
}

// problemDocument is the part of an RFC 9457 document that is read.
type problemDocument struct {
	Code      string `json:"code"`
	Outcome   string `json:"outcome"`
	Detail    string `json:"detail"`
	RequestID string `json:"request_id"`
}

func (o *Outcome) problem(body io.Reader) {
	data, err := io.ReadAll(io.LimitReader(body, problemBytes))
	if err != nil {
		o.Result, o.Detail = Broken, err.Error()
		return
	}
	o.told(data)
}

// told takes what a problem document says.
func (o *Outcome) told(data []byte) {
	var p problemDocument
	if err := json.Unmarshal(data, &p); err != nil || p.Outcome == "" {
		o.Result, o.Detail = Broken, "no problem document"
		return
	}
	o.Code, o.Told, o.Detail = p.Code, p.Outcome, p.Detail
	if o.RequestID == "" {
		o.RequestID = p.RequestID
	}
	o.Result = Failed
	if p.Outcome == ToldNotRun && o.Status != http.StatusOK {
		o.Result = Refused
	}
}

func (o *Outcome) drain(body io.Reader) {
	o.Result = Delivered
	if _, err := io.Copy(io.Discard, body); err != nil {
		o.Result, o.Detail = Broken, err.Error()
	}
}
