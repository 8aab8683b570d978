package gateway

import (
	"github.com/pkg/errors"
)

const (
	// elementBytes is the largest size of an element of a list in a message, for which the
	// decoder takes memory before it has read it.
	elementBytes = 112
	// maxMessageDepth is the deepest nesting in a message. Those of hosts have 6 levels.
	maxMessageDepth = 16
)

// errMessageForm means that a message is no well-formed MessagePack.
var errMessageForm = errors.New("message of another host is malformed")

// decodedSize returns how much memory the decoder takes at most for a message in
// MessagePack. It returns an error for a message whose lists announce more elements than it
// has bytes: the decoder would take memory for all of them at once.
func decodedSize(body []byte) (int64, error) {
	// open holds how many values the containers around the present one still lack, left
	// how many the present one does.
	var open [maxMessageDepth]int
	depth, left, rest, size := 0, 1, body, int64(len(body))
	for {
		for left == 0 {
			if depth == 0 {
				return size, nil
			}
			depth--
			left = open[depth]
		}
		left--
		children, bytes, ok := readValue(rest)
		if !ok || children > len(rest)-bytes {
			return 0, errMessageForm
		}
		rest = rest[bytes:]
		if children == 0 {
			continue
		}
		if depth == maxMessageDepth {
			return 0, errMessageForm
		}
		size += int64(children) * elementBytes
		open[depth] = left
		depth, left = depth+1, children
	}
}

// readValue returns how many values the first value in some bytes contains, and the number
// of its bytes without them. It returns false if the bytes end within it.
func readValue(b []byte) (children, bytes int, ok bool) {
	if len(b) == 0 {
		return 0, 0, false
	}
	form := &codeForms[b[0]]
	if form.unused || len(b) < 1+form.lengthBytes {
		return 0, 0, false
	}
	length := form.extra
	if form.lengthBytes > 0 {
		read := 0
		for _, c := range b[1 : 1+form.lengthBytes] {
			read = read<<8 | int(c)
		}
		length += read
	}
	bytes = 1 + form.lengthBytes
	switch form.kind {
	case listForm:
		return length, bytes, true
	case mapForm:
		return 2 * length, bytes, true
	default:
		return 0, bytes + length, length <= len(b)-bytes
	}
}

// valueForm is the kind of a value as far as its size is concerned.
type valueForm int

const (
	plainForm valueForm = iota
	listForm
	mapForm
)

// codeForm is what the first byte of a value tells: its kind, the number of bytes that hold
// its length, and what comes on top of that length.
type codeForm struct {
	kind        valueForm
	lengthBytes int
	extra       int
	unused      bool
}

// codeForms holds the forms of all first bytes.
var codeForms = func() (forms [256]codeForm) {
	for code := range forms {
		forms[code] = formOf(byte(code))
	}
	return forms
}()

// formOf returns the form of a value that begins with a code.
func formOf(code byte) codeForm {
	switch {
	case code <= 0x7f || code >= 0xe0: // small numbers
		return codeForm{}
	case code <= 0x8f:
		return codeForm{kind: mapForm, extra: int(code & 0x0f)}
	case code <= 0x9f:
		return codeForm{kind: listForm, extra: int(code & 0x0f)}
	case code <= 0xbf: // short strings
		return codeForm{extra: int(code & 0x1f)}
	}
	switch code {
	case 0xc1:
		return codeForm{unused: true}
	case 0xc4, 0xc5, 0xc6: // bytes
		return codeForm{lengthBytes: 1 << (code - 0xc4)}
	case 0xd9, 0xda, 0xdb: // strings
		return codeForm{lengthBytes: 1 << (code - 0xd9)}
	case 0xc7, 0xc8, 0xc9: // extensions, with a type
		return codeForm{lengthBytes: 1 << (code - 0xc7), extra: 1}
	case 0xca, 0xce, 0xd2: // numbers
		return codeForm{extra: 4}
	case 0xcb, 0xcf, 0xd3:
		return codeForm{extra: 8}
	case 0xcc, 0xd0:
		return codeForm{extra: 1}
	case 0xcd, 0xd1:
		return codeForm{extra: 2}
	case 0xd4, 0xd5, 0xd6, 0xd7, 0xd8: // extensions of a fixed size, with a type
		return codeForm{extra: 1 + 1<<(code-0xd4)}
	case 0xdc, 0xdd:
		return codeForm{kind: listForm, lengthBytes: 2 << (code - 0xdc)}
	case 0xde, 0xdf:
		return codeForm{kind: mapForm, lengthBytes: 2 << (code - 0xde)}
	default: // nil and truth values
		return codeForm{}
	}
}
