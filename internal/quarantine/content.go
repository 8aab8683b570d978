package quarantine

import (
	"encoding/hex"
	"strings"
)

// contentPrefix marks the name of a request's content among the names of parts, none
// of which holds a colon.
const contentPrefix = "content:"

// ContentName returns the name by which a request's whole content is blamed, for its
// hash. It stands beside the names of the parts of the request's prompt, in the table
// and in what hosts tell each other.
func ContentName(hash []byte) string { return contentPrefix + hex.EncodeToString(hash) }

// isContent reports whether a name is that of a request's content.
func isContent(name string) bool { return strings.HasPrefix(name, contentPrefix) }
