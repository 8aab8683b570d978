package engine

import (
	"encoding/json"
	"io"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// ChatRequest is the JSON body of PathGenerate. Its fields are those of Request;
// the prompt and the delivered text are in Messages.
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
	// Offset is the number of tokens in the assistant's message; 0 if there is
	// none.
	Offset int `json:"offset,omitempty"`
	// Messages contains the user's prompt. To continue an answer that another
	// attempt began, it also contains the assistant's text so far.
	Messages []Message `json:"messages"`
}

// These are the roles of messages.
const (
	RoleUser      = "user"
	RoleAssistant = "assistant"
)

// Message is one message of a ChatRequest.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// WorkRef is the body of PathCancel. It names the work to cancel.
type WorkRef struct {
	Work WorkID `json:"work"`
}

// WorkList is the body of the answer to PathWork.
type WorkList struct {
	Work []WorkEntry `json:"work"`
}

// PrefillRequest is the body of PathPrefill. It asks a member of a group to
// process its share of a prompt.
type PrefillRequest struct {
	Work WorkID `json:"work"`
	// Tokens is the number of prompt tokens in the share.
	Tokens int `json:"tokens"`
	// Priority is the priority of the work, as in Request.Priority.
	Priority int `json:"priority"`
}

// emptyMessages is the end of an encoded ChatRequest without messages. The prompt
// is put in its place without passing through the encoder.
const emptyMessages = `"messages":null}`

// These are the constant parts of the messages of an encoded ChatRequest.
const (
	messagesHead = `"messages":[{"role":"user","content":`
	messagesNext = `},{"role":"assistant","content":`
	messagesTail = `}]}`
)

// encodeRequest returns the encoded body and its length in bytes. The prompt is
// copied only if it needs escapes.
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
	parts := append([]string{start, messagesHead}, quotedParts(r.Prompt)...)
	if r.Offset > 0 {
		parts = append(parts, messagesNext)
		parts = append(parts, quotedParts(r.DeliveredText)...)
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

// quotedParts returns the parts that together form s as a JSON string. s itself
// is one of them if it needs no escapes.
func quotedParts(s string) []string {
	if isUnescapedJSON(s) {
		return []string{`"`, s, `"`}
	}
	escaped, _ := json.Marshal(s) // a string never fails to encode
	return []string{string(escaped)}
}

// isUnescapedJSON reports whether s needs no escapes between the quotes of a JSON
// string.
func isUnescapedJSON(s string) bool {
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
