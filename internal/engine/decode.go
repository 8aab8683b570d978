package engine

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// maxHeadBytes is the largest size of the part of a request before its messages,
// if the request is to be decoded without running the JSON decoder over the
// prompt.
const maxHeadBytes = 16 << 10

// DecodeRequest decodes the body of PathGenerate. If the body has the exact
// layout that this package writes, the prompt does not pass through the JSON
// decoder.
func DecodeRequest(body []byte) (ChatRequest, error) {
	if r, ok := splitRequest(body); ok {
		return r, nil
	}
	var r ChatRequest
	err := json.Unmarshal(body, &r)
	return r, errors.Wrap(err, "decode request")
}

// splitRequest decodes a body that contains one message without a JSON pass over
// its text. It returns false if the body has any other layout.
func splitRequest(body []byte) (ChatRequest, bool) {
	var r ChatRequest
	const begin, end = messagesHead + `"`, `"` + messagesTail
	messagesStart := bytes.Index(body[:min(len(body), maxHeadBytes)], []byte(begin))
	if messagesStart < 0 || !bytes.HasSuffix(body, []byte(end)) || messagesStart+len(begin)+len(end) > len(body) {
		return r, false
	}
	content := string(body[messagesStart+len(begin) : len(body)-len(end)])
	if !isUnescapedJSON(content) {
		return r, false
	}
	head := append(append([]byte(nil), body[:messagesStart]...), emptyMessages...)
	if json.Unmarshal(head, &r) != nil {
		return r, false
	}
	r.Messages = []Message{{Role: RoleUser, Content: content}}
	return r, true
}
