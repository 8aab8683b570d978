package engine

import (
	"encoding/json"
	"io"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// ChatRequest is the body of PathGenerate.
type ChatRequest struct {
	Work         WorkID    `json:"work"`
	Owner        Owner     `json:"owner"`
	Model        string    `json:"model"`
	PromptTokens int       `json:"prompt_tokens"`
	MaxTokens    int       `json:"max_tokens"`
	Priority     int       `json:"priority"`
	Deadline     time.Time `json:"deadline"`
	Group        []string  `json:"group,omitempty"`
	Stream       bool      `json:"stream"`
	// Offset is the number of tokens of the assistant's message, if there is one.
	Offset int `json:"offset,omitempty"`
	// Messages are the user's prompt and, to continue an answer that another
	// attempt began, the assistant's text so far.
	Messages []Message `json:"messages"`
}

// Roles of messages.
const (
	RoleUser      = "user"
	RoleAssistant = "assistant"
)

// Message is one message of a ChatRequest.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// WorkRef names a piece of work in the body of PathCancel.
type WorkRef struct {
	Work WorkID `json:"work"`
}

// WorkList is the answer of PathWork.
type WorkList struct {
	Work []WorkEntry `json:"work"`
}

// PrefillRequest asks a member of a group to process its share of a prompt.
type PrefillRequest struct {
	Work     WorkID `json:"work"`
	Tokens   int    `json:"tokens"`
	Priority int    `json:"priority"`
}

// emptyMessages is how a ChatRequest without messages ends; the prompt is put
// in its place without passing through the encoder.
const emptyMessages = `"messages":null}`

const (
	messagesHead = `"messages":[{"role":"user","content":`
	messagesNext = `},{"role":"assistant","content":`
	messagesTail = `}]}`
)

// encodeRequest returns the body and its length. The prompt is not copied
// unless it needs escapes.
func encodeRequest(r Request) (io.Reader, int64, error) {
	head, err := json.Marshal(ChatRequest{
		Work: r.Work, Owner: r.Owner, Model: r.Model, PromptTokens: r.PromptTokens,
		MaxTokens: r.MaxTokens, Priority: r.Priority, Deadline: r.Deadline,
		Group: r.Group, Stream: true, Offset: r.Offset,
	})
	if err != nil {
		return nil, 0, errors.Wrap(err, "encode request")
	}
	start, found := strings.CutSuffix(string(head), emptyMessages)
	if !found {
		return nil, 0, errors.New("encode request: messages are not last")
	}
	parts := append([]string{start, messagesHead}, quoted(r.Prompt)...)
	if r.Offset > 0 {
		parts = append(parts, messagesNext)
		parts = append(parts, quoted(r.DeliveredText)...)
	}
	parts = append(parts, messagesTail)
	readers := make([]io.Reader, len(parts))
	length := 0
	for i, p := range parts {
		readers[i] = strings.NewReader(p)
		length += len(p)
	}
	return io.MultiReader(readers...), int64(length), nil
}

// quoted returns s as a JSON string in parts, s itself one of them if it may
// stand as it is.
func quoted(s string) []string {
	if isPlain(s) {
		return []string{`"`, s, `"`}
	}
	escaped, _ := json.Marshal(s) // a string never fails to encode
	return []string{string(escaped)}
}

// isPlain reports whether s may stand between quotes in JSON as it is.
func isPlain(s string) bool {
	ascii := true
	for i := range len(s) {
		c := s[i]
		if c < ' ' || c == '"' || c == '\\' {
			return false
		}
		ascii = ascii && c < utf8.RuneSelf
	}
	return ascii || utf8.ValidString(s)
}
