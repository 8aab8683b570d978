package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/chestnutline/chestnutline/platform/standin"
)

const (
	// thinkTime is the mean pause between two requests of a caller.
	thinkTime = 120 * time.Millisecond
	// leaveChance is how often a caller leaves its host after an answer, as
	// new callers come.
	leaveChance = 0.05
	// steadyKey is valid in all configurations.
	steadyKey = "steady"
	// rotatingShare of the requests bear a key that comes and goes.
	rotatingShare = 0.25
	// longShare of the streams need the memory of several servers.
	longShare = 0.03
)

// Prompt sizes in tokens, and the answer's.
const (
	shortPrompt  = 1000
	longPrompt   = 150000
	answerTokens = 50
)

// limits are how long callers wait, within the routes' time limits.
var limits = map[Kind]time.Duration{Stream: 5 * time.Second, Once: time.Second, Often: time.Second}

// caller sends one request after the other and keeps its connection until it
// ends.
type caller struct {
	world  *world
	name   string
	random *rand.Rand

	host      *host
	transport *http.Transport
	count     int
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.host == nil {
			ready := c.world.rotation()
			c.host = ready[c.random.IntN(len(ready))]
			c.transport = &http.Transport{DisableCompression: true, MaxConnsPerHost: 1}
		}
		call, stays := c.call(ctx)
		if ctx.Err() != nil {
			break
		}
		c.world.note(func(h *History) { h.Calls = append(h.Calls, call) })
		if !stays || c.random.Float64() < leaveChance {
			c.transport.CloseIdleConnections()
			c.host = nil
		}
		sleep(ctx, time.Duration(c.random.ExpFloat64()*float64(thinkTime)))
	}
	if c.transport != nil {
		c.transport.CloseIdleConnections()
	}
}

func (c *caller) kind() Kind {
	switch x := c.random.Float64(); {
	case x < 0.5:
		return Stream
	case x < 0.8:
		return Once
	default:
		return Often
	}
}

// call sends one request and says whether the connection can be kept.
func (c *caller) call(ctx context.Context) (Call, bool) {
	c.count++
	kind := c.kind()
	_, boot := c.host.running()
	call := Call{
		ID: fmt.Sprintf("%s-%d", c.name, c.count), Kind: kind, Host: c.host.name, Boot: boot,
		Key: c.key(), Limit: limits[kind], Sent: c.world.now(),
	}
	// The caller gives up well after the promise is broken.
	ctx, cancel := context.WithTimeout(ctx, call.Limit+4*overtime)
	defer cancel()
	response, err := c.transport.RoundTrip(c.request(ctx, &call))
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		response.Body.Close()
		call.Status, call.Body = response.StatusCode, string(body)
		call.Signed = response.Header.Get(standin.HeaderSignature) != ""
	}
	call.Broken = err != nil
	call.Ended = c.world.now()
	return call, err == nil && !response.Close
}

func (c *caller) request(ctx context.Context, call *Call) *http.Request {
	paths := map[Kind]string{Stream: "/s/", Once: "/u/", Often: "/g/"}
	method, body := http.MethodPost, "body of "+call.ID
	if call.Kind == Often {
		method, body = http.MethodGet, ""
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.host.address(callerPort)+paths[call.Kind], strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = standin.RouteHost
	r.Header.Set(standin.HeaderRequestID, call.ID)
	r.Header.Set(standin.HeaderKey, standin.KeyHeaderValue(call.Key))
	r.Header.Set(standin.HeaderDeadline, strconv.FormatInt(call.Limit.Milliseconds(), 10))
	if call.Kind == Stream {
		prompt := shortPrompt
		if c.random.Float64() < longShare {
			prompt = longPrompt
		}
		r.Header.Set(standin.HeaderUsage, fmt.Sprintf("%d,%d", prompt, answerTokens))
	}
	return r
}

// key is the steady one, or one that a present or past version has.
func (c *caller) key() string {
	if c.random.Float64() > rotatingShare {
		return steadyKey
	}
	newest := c.world.newest()
	return rotatingKey(max(1, newest-c.random.IntN(3)))
}

func rotatingKey(version int) string { return fmt.Sprintf("key-%d", version) }
