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
	// meanThinkTime is the mean pause between two requests of a caller.
	meanThinkTime = 120 * time.Millisecond
	// reconnectProbability is the probability that a caller leaves its host after
	// an answer and connects to a new one, as a new caller would.
	reconnectProbability = 0.05
	// permanentKey is valid in all configurations.
	permanentKey = "steady"
	// rotatingKeyShare is the share of requests with a key that is valid only in
	// some versions of the configuration.
	rotatingKeyShare = 0.25
	// crashingPromptShare is the share of streams with crashingPart while servers are to
	// crash under prompts.
	crashingPromptShare = 0.2
	// repeatShare is the share of idempotent calls that are the request under which servers
	// crash again and again, while they are to. crashingBody is its body.
	repeatShare  = 0.3
	crashingBody = "crash"
	// sharedPart is a part that all prompts have, crashingPart one under which servers
	// crash.
	sharedPart, crashingPart = "5c", "bad"
	// longPromptShare is the share of streams whose prompt needs the memory of
	// several servers.
	longPromptShare = 0.03
)

// Numbers of tokens of prompts and of the answer.
const (
	shortPromptTokens = 1000
	longPromptTokens  = 150000
	answerTokens      = 50
)

// callerTimeLimits are the time limits that callers set for each kind of request.
// They are within the time limits of the routes.
var callerTimeLimits = map[Kind]time.Duration{Stream: 5 * time.Second, AtMostOnce: time.Second, Idempotent: time.Second}

// caller sends one request after the other. It keeps its connection to a host until
// the host ends it or the caller chooses another host.
type caller struct {
	harness *harness
	name    string
	random  *rand.Rand

	host      *host
	transport *http.Transport
	// sentCount numbers the caller's requests.
	sentCount int
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.host == nil {
			candidates := c.harness.hostsInRotation()
			c.host = candidates[c.random.IntN(len(candidates))]
			c.transport = &http.Transport{DisableCompression: true, MaxConnsPerHost: 1}
		}
		call, reusable := c.send(ctx)
		if ctx.Err() != nil {
			break
		}
		c.harness.updateHistory(func(h *History) { h.Calls = append(h.Calls, call) })
		if !reusable || c.random.Float64() < reconnectProbability {
			c.transport.CloseIdleConnections()
			c.host = nil
		}
		sleep(ctx, time.Duration(c.random.ExpFloat64()*float64(meanThinkTime)))
	}
	if c.transport != nil {
		c.transport.CloseIdleConnections()
	}
}

// drawKind draws the kind of the next request.
func (c *caller) drawKind() Kind {
	switch share := c.random.Float64(); {
	case share < 0.5:
		return Stream
	case share < 0.8:
		return AtMostOnce
	default:
		return Idempotent
	}
}

// send sends one request and returns what the caller saw, and whether the
// connection can be used again.
func (c *caller) send(ctx context.Context) (Call, bool) {
	c.sentCount++
	kind := c.drawKind()
	_, boot := c.host.currentProcess()
	call := Call{
		ID: fmt.Sprintf("%s-%d", c.name, c.sentCount), Kind: kind, Host: c.host.name, Boot: boot,
		Key: c.drawKey(), Limit: callerTimeLimits[kind], Sent: c.harness.elapsed(),
	}
	call.CrashesServers = kind == Stream && c.harness.crashingPrompts.Load() > 0 && c.random.Float64() < crashingPromptShare
	call.Repeat = kind == Idempotent && c.harness.crashingRepeats.Load() > 0 && c.random.Float64() < repeatShare
	// The caller stops waiting well after the time at which the guarantee of the
	// time limit is violated.
	ctx, cancel := context.WithTimeout(ctx, call.Limit+4*timeLimitTolerance)
	defer cancel()
	response, err := c.transport.RoundTrip(c.newRequest(ctx, &call))
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		response.Body.Close()
		call.Status, call.Body = response.StatusCode, string(body)
		call.Signed = response.Header.Get(standin.HeaderSignature) != ""
	}
	call.Broken = err != nil
	call.Ended = c.harness.elapsed()
	return call, err == nil && !response.Close
}

// newRequest returns the HTTP request of a call.
func (c *caller) newRequest(ctx context.Context, call *Call) *http.Request {
	paths := map[Kind]string{Stream: "/s/", AtMostOnce: "/u/", Idempotent: "/g/"}
	method, body := http.MethodPost, "body of "+call.ID
	if call.Kind == Idempotent {
		method, body = http.MethodGet, ""
	}
	if call.Repeat {
		method, body = http.MethodPost, crashingBody
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
		prompt := shortPromptTokens
		if c.random.Float64() < longPromptShare {
			prompt = longPromptTokens
		}
		r.Header.Set(standin.HeaderPromptParts, c.promptParts(call))
		r.Header.Set(standin.HeaderUsage, fmt.Sprintf("%d,%d", prompt, answerTokens))
	}
	return r
}

// promptParts returns the parts of the prompt of a call: one that all prompts share, one
// of the caller, one under which servers crash if the call is to have it, and its own.
func (c *caller) promptParts(call *Call) string {
	parts := fmt.Sprintf("%s:40,%s:30", sharedPart, c.name)
	if call.CrashesServers {
		parts += fmt.Sprintf(",%s:20", crashingPart)
	}
	return parts + fmt.Sprintf(",%s:900", call.ID)
}

// drawKey returns the permanent key, or a key of the newest version or of one of
// the two versions before it.
func (c *caller) drawKey() string {
	if c.random.Float64() > rotatingKeyShare {
		return permanentKey
	}
	newest := c.harness.newestVersion()
	return rotatingKey(max(1, newest-c.random.IntN(3)))
}

// rotatingKey returns the key that a version of the configuration adds.
func rotatingKey(version int) string { return fmt.Sprintf("key-%d", version) }
