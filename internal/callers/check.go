package callers

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/intent"
	"github.com/chestnutline/chestnutline/internal/engine"
	"github.com/chestnutline/chestnutline/internal/finding"
)

// These are the headers of a request.
const (
	headerOrganisation = "X-Organisation"
	headerKind         = "X-Request-Kind"
	headerTimeLimit    = "X-Time-Limit-Ms"
	headerIdempotency  = "Idempotency-Key"
	headerRequestID    = "X-Request-Id"
)

// These are the limits of a request.
const (
	// MaxBodyBytes is the largest accepted body of a model request. It suffices
	// for a prompt of a million tokens and its JSON.
	MaxBodyBytes = 12 << 20
	// MaxCallBytes is the largest accepted body of a service call.
	MaxCallBytes = 1 << 20
	// MaxAnswerTokens is the largest accepted value of max_tokens.
	MaxAnswerTokens = 32_768
	// defaultAnswerTokens is the value used if max_tokens is absent.
	defaultAnswerTokens = 256
	// maxIdempotencyKeyBytes is the largest accepted length of an idempotency
	// key.
	maxIdempotencyKeyBytes = 255
	// minTimeLimit is the shortest accepted time limit.
	minTimeLimit = 50 * time.Millisecond
)

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionRequest is the body of a model request.
type completionRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens *int      `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// joinedPrompt returns the contents of all messages, joined by newlines.
func (c *completionRequest) joinedPrompt() string {
	if len(c.Messages) == 1 {
		return c.Messages[0].Content
	}
	parts := make([]string, len(c.Messages))
	for i, m := range c.Messages {
		parts[i] = m.Content
	}
	return strings.Join(parts, "\n")
}

// headerValues contains the checked values of the request's headers.
type headerValues struct {
	organisation   intent.Organisation
	kind           intent.Kind
	timeLimit      time.Duration
	idempotencyKey string
}

// checker checks one request and collects the findings.
type checker struct {
	catalogue *Catalogue
	findings  finding.List
	// unknownName is set if a model, kind, service or organisation does not
	// exist.
	unknownName bool
}

// addFinding adds a finding for a place of the request, such as "body.model".
func (k *checker) addFinding(place, format string, args ...any) {
	k.findings.Add(place, fmt.Sprintf(format, args...))
}

// singleHeader returns the value of a header that may be sent only once. It
// returns "" with a finding if the header is repeated, or if it is required and
// missing or empty.
func (k *checker) singleHeader(h http.Header, name string, required bool) string {
	values := h.Values(name)
	switch {
	case len(values) > 1:
		k.addFinding("header "+name, "is given %d times; send it once", len(values))
		return ""
	case len(values) == 0 || values[0] == "":
		if required {
			k.addFinding("header "+name, "is missing")
		}
		return ""
	}
	return values[0]
}

// checkHeaders checks all headers. The service is empty for a model request.
func (k *checker) checkHeaders(h http.Header, service string) headerValues {
	var values headerValues
	values.organisation = k.checkOrganisation(k.singleHeader(h, headerOrganisation, true))
	values.kind = k.checkKind(k.singleHeader(h, headerKind, service == ""), service, values.organisation)
	values.idempotencyKey = k.checkIdempotencyKey(k.singleHeader(h, headerIdempotency, values.kind.NeverRepeat))
	values.timeLimit = k.checkTimeLimit(k.singleHeader(h, headerTimeLimit, false), values.kind)
	return values
}

// checkOrganisation returns the organisation with the given name.
func (k *checker) checkOrganisation(name string) intent.Organisation {
	o, known := k.catalogue.organisations[name]
	if name != "" && !known {
		k.unknownName = true
		k.addFinding("header "+headerOrganisation, "%q is not a known organisation", name)
	}
	return o
}

// checkKind returns the kind with the given name. It must belong to the service
// and be open to the organisation.
func (k *checker) checkKind(name, service string, o intent.Organisation) intent.Kind {
	kind, known := k.catalogue.kinds[name]
	if name == "" {
		return kind
	}
	switch {
	case !known:
		k.unknownName = true
		k.addFinding("header "+headerKind, "%q is not a known kind of request", name)
	case kind.Service != service:
		k.addFinding("header "+headerKind, "kind %q is not served here", name)
	case !isAllowed(o.Kinds, name):
		k.addFinding("header "+headerKind, "kind %q is not open to organisation %q", name, o.Name)
	}
	return kind
}

// checkIdempotencyKey checks the length of an idempotency key.
func (k *checker) checkIdempotencyKey(key string) string {
	if len(key) > maxIdempotencyKeyBytes {
		k.addFinding("header "+headerIdempotency, "has %d bytes; at most %d are accepted", len(key), maxIdempotencyKeyBytes)
	}
	return key
}

// checkTimeLimit returns the time limit given in milliseconds, or the default
// limit of the kind if the header is absent.
func (k *checker) checkTimeLimit(text string, kind intent.Kind) time.Duration {
	if text == "" {
		return time.Duration(kind.DefaultLimitMillis) * time.Millisecond
	}
	millis, err := strconv.Atoi(text)
	if err != nil {
		k.addFinding("header "+headerTimeLimit, "%q is not a whole number of milliseconds", text)
		return 0
	}
	minMillis := int(minTimeLimit / time.Millisecond)
	if kind.MaxLimitMillis > 0 && (millis < minMillis || millis > kind.MaxLimitMillis) {
		k.addFinding("header "+headerTimeLimit, "is %d; %d to %d milliseconds are accepted", millis, minMillis, kind.MaxLimitMillis)
	}
	return time.Duration(millis) * time.Millisecond
}

// decodeBody decodes and checks the body of a model request.
func (k *checker) decodeBody(data []byte, o intent.Organisation) (*completionRequest, intent.Model) {
	var c completionRequest
	if err := decodeStrict(data, &c); err != nil {
		k.addFinding("body", "%v", err)
		return &c, intent.Model{}
	}
	model := k.checkModel(c.Model, o)
	k.checkPrompt(&c, model)
	k.checkMaxTokens(&c)
	return &c, model
}

// decodeStrict decodes exactly one JSON document and refuses data after it.
func decodeStrict(data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	if err := d.Decode(into); err != nil {
		return errors.Wrapf(err, "malformed JSON near byte %d", d.InputOffset())
	}
	if d.More() {
		return errors.Errorf("more than one JSON document, the second at byte %d", d.InputOffset())
	}
	return nil
}

// checkModel returns the model with the given name, which must be open to the
// organisation.
func (k *checker) checkModel(name string, o intent.Organisation) intent.Model {
	m, known := k.catalogue.models[name]
	switch {
	case name == "":
		k.addFinding("body.model", "is missing")
	case !known:
		k.unknownName = true
		k.addFinding("body.model", "%q is not a known model", name)
	case !isAllowed(o.Models, m.Name):
		k.addFinding("body.model", "model %q is not open to organisation %q", name, o.Name)
	}
	return m
}

// checkPrompt checks that there are messages, that none is empty, and that the
// prompt is not too long for the model.
func (k *checker) checkPrompt(c *completionRequest, m intent.Model) {
	if len(c.Messages) == 0 {
		k.addFinding("body.messages", "is empty")
		return
	}
	for i, msg := range c.Messages {
		if msg.Content == "" {
			k.addFinding(fmt.Sprintf("body.messages[%d].content", i), "is empty")
		}
	}
	tokens := promptTokens(c)
	if m.MaxPromptTokens > 0 && tokens > m.MaxPromptTokens {
		k.addFinding("body.messages", "hold about %d tokens; model %q takes at most %d", tokens, m.Name, m.MaxPromptTokens)
	}
}

// promptTokens estimates the length of the prompt in tokens from its length in
// bytes.
func promptTokens(c *completionRequest) int {
	size := 0
	for _, msg := range c.Messages {
		size += len(msg.Content)
	}
	return (size + engine.BytesPerToken - 1) / engine.BytesPerToken
}

// checkMaxTokens checks the range of max_tokens and sets the default where it is
// absent.
func (k *checker) checkMaxTokens(c *completionRequest) {
	if c.MaxTokens == nil {
		tokens := defaultAnswerTokens
		c.MaxTokens = &tokens
		return
	}
	if *c.MaxTokens < 1 || *c.MaxTokens > MaxAnswerTokens {
		k.addFinding("body.max_tokens", "is %d; 1 to %d are accepted", *c.MaxTokens, MaxAnswerTokens)
	}
}
