package engine

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// maxHeadBytes bounds what stands before the messages in a request that is
// decoded without a pass of the decoder over the prompt.
const maxHeadBytes = 16 << 10

// DecodeRequest reads the body of PathGenerate. The prompt of a body laid out
// as this package writes it does not pass through the JSON decoder.
func DecodeRequest(body []byte) (ChatRequest, error) {
	if r, ok := splitRequest(body); ok {
		return r, nil
	}
	var r ChatRequest
	err := json.Unmarshal(body, &r)
	return r, errors.Wrap(err, "decode request")
}

// splitRequest takes the prompt out of a body with one message.
func splitRequest(body []byte) (ChatRequest, bool) {
	var r ChatRequest
	const begin, end = messagesHead + `"`, `"` + messagesTail
	at := bytes.Index(body[:min(len(body), maxHeadBytes)], []byte(begin))
	if at < 0 || !bytes.HasSuffix(body, []byte(end)) || at+len(begin)+len(end) > len(body) {
		return r, false
	}
	content := string(body[at+len(begin) : len(body)-len(end)])
	if !isPlain(content) {
		return r, false
	}
	head := append(append([]byte(nil), body[:at]...), emptyMessages...)
	if json.Unmarshal(head, &r) != nil {
		return r, false
	}
	r.Messages = []Message{{Role: RoleUser, Content: content}}
	return r, true
}
