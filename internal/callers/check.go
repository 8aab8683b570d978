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

// Headers of a request.
const (
	headerOrganisation = "X-Organisation"
	headerKind         = "X-Request-Kind"
	headerLimit        = "X-Time-Limit-Ms"
	headerIdempotency  = "Idempotency-Key"
	headerRequestID    = "X-Request-Id"
)

// Bounds of a request.
const (
	// MaxBodyBytes is the largest body of a model request: a prompt of a
	// million tokens and its JSON.
	MaxBodyBytes = 12 << 20
	// MaxCallBytes is the largest body of a service call.
	MaxCallBytes = 1 << 20
	// MaxAnswerTokens bounds max_tokens.
	MaxAnswerTokens = 32_768
	// defaultAnswerTokens holds where max_tokens is absent.
	defaultAnswerTokens = 256
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 255
	// minLimit is the shortest time limit accepted.
	minLimit = 50 * time.Millisecond
)

// message is one entry of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completion is the body of a model request.
type completion struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens *int      `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// prompt joins the messages' contents.
func (c *completion) prompt() string {
	if len(c.Messages) == 1 {
		return c.Messages[0].Content
	}
	parts := make([]string, len(c.Messages))
	for i, m := range c.Messages {
		parts[i] = m.Content
	}
	return strings.Join(parts, "\n")
}

// terms are what the headers say.
type terms struct {
	organisation intent.Organisation
	kind         intent.Kind
	limit        time.Duration
	key          string
}

// checker collects the findings of one request.
type checker struct {
	catalogue *Catalogue
	findings  finding.List
	// unknown is set when a model, kind, service or organisation does not exist.
	unknown bool
}

func (k *checker) add(place, format string, args ...any) {
	k.findings.Add(place, fmt.Sprintf(format, args...))
}

// single returns a header's one value.
func (k *checker) single(h http.Header, name string, required bool) string {
	values := h.Values(name)
	switch {
	case len(values) > 1:
		k.add("header "+name, "is given %d times; send it once", len(values))
		return ""
	case len(values) == 0 || values[0] == "":
		if required {
			k.add("header "+name, "is missing")
		}
		return ""
	}
	return values[0]
}

func (k *checker) headers(h http.Header, service string) terms {
	var t terms
	t.organisation = k.organisation(k.single(h, headerOrganisation, true))
	t.kind = k.kind(k.single(h, headerKind, service == ""), service, t.organisation)
	t.key = k.key(k.single(h, headerIdempotency, t.kind.NeverRepeat))
	t.limit = k.limit(k.single(h, headerLimit, false), t.kind)
	return t
}

func (k *checker) organisation(name string) intent.Organisation {
	o, known := k.catalogue.organisations[name]
	if name != "" && !known {
		k.unknown = true
		k.add("header "+headerOrganisation, "%q is not a known organisation", name)
	}
	return o
}

func (k *checker) kind(name, service string, o intent.Organisation) intent.Kind {
	kind, known := k.catalogue.kinds[name]
	if name == "" {
		return kind
	}
	switch {
	case !known:
		k.unknown = true
		k.add("header "+headerKind, "%q is not a known kind of request", name)
	case kind.Service != service:
		k.add("header "+headerKind, "kind %q is not served here", name)
	case !allowed(o.Kinds, name):
		k.add("header "+headerKind, "kind %q is not open to organisation %q", name, o.Name)
	}
	return kind
}

func (k *checker) key(key string) string {
	if len(key) > maxKeyBytes {
		k.add("header "+headerIdempotency, "has %d bytes; at most %d are accepted", len(key), maxKeyBytes)
	}
	return key
}

func (k *checker) limit(text string, kind intent.Kind) time.Duration {
	if text == "" {
		return time.Duration(kind.DefaultLimitMillis) * time.Millisecond
	}
	millis, err := strconv.Atoi(text)
	if err != nil {
		k.add("header "+headerLimit, "%q is not a whole number of milliseconds", text)
		return 0
	}
	least := int(minLimit / time.Millisecond)
	if kind.MaxLimitMillis > 0 && (millis < least || millis > kind.MaxLimitMillis) {
		k.add("header "+headerLimit, "is %d; %d to %d milliseconds are accepted", millis, least, kind.MaxLimitMillis)
	}
	return time.Duration(millis) * time.Millisecond
}

// body decodes and checks a model request.
func (k *checker) body(data []byte, o intent.Organisation) (*completion, intent.Model) {
	var c completion
	if err := decodeStrict(data, &c); err != nil {
		k.add("body", "%v", err)
		return &c, intent.Model{}
	}
	model := k.model(c.Model, o)
	k.prompt(&c, model)
	k.maxTokens(&c)
	return &c, model
}

// decodeStrict reads exactly one JSON document.
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

func (k *checker) model(name string, o intent.Organisation) intent.Model {
	m, known := k.catalogue.models[name]
	switch {
	case name == "":
		k.add("body.model", "is missing")
	case !known:
		k.unknown = true
		k.add("body.model", "%q is not a known model", name)
	case !allowed(o.Models, m.Name):
		k.add("body.model", "model %q is not open to organisation %q", name, o.Name)
	}
	return m
}

func (k *checker) prompt(c *completion, m intent.Model) {
	if len(c.Messages) == 0 {
		k.add("body.messages", "is empty")
		return
	}
	for i, msg := range c.Messages {
		if msg.Content == "" {
			k.add(fmt.Sprintf("body.messages[%d].content", i), "is empty")
		}
	}
	tokens := promptTokens(c)
	if m.MaxPromptTokens > 0 && tokens > m.MaxPromptTokens {
		k.add("body.messages", "hold about %d tokens; model %q takes at most %d", tokens, m.Name, m.MaxPromptTokens)
	}
}

func promptTokens(c *completion) int {
	size := 0
	for _, msg := range c.Messages {
		size += len(msg.Content)
	}
	return (size + engine.BytesPerToken - 1) / engine.BytesPerToken
}

func (k *checker) maxTokens(c *completion) {
	if c.MaxTokens == nil {
		tokens := defaultAnswerTokens
		c.MaxTokens = &tokens
		return
	}
	if *c.MaxTokens < 1 || *c.MaxTokens > MaxAnswerTokens {
		k.add("body.max_tokens", "is %d; 1 to %d are accepted", *c.MaxTokens, MaxAnswerTokens)
	}
}
