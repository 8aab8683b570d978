package intent

import "strings"

// nameFormat defines which names are valid.
type nameFormat struct {
	// firstBytes holds the bytes allowed as a name's first byte, otherBytes those
	// allowed after it.
	firstBytes, otherBytes string
	// maxLength is the length of the longest valid name, in bytes.
	maxLength int
	// rule describes the format to an operator; it is part of findings.
	rule string
}

const (
	digits    = "0123456789"
	lowerCase = "abcdefghijklmnopqrstuvwxyz"
	upperCase = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
)

// The formats of names. plainName is the format of data centres, regions,
// services, kinds and organisations; modelName that of models; versionName that
// of models' versions, adapters and engines.
var (
	plainName = nameFormat{
		firstBytes: lowerCase + digits, otherBytes: lowerCase + digits + "._-", maxLength: 63,
		rule: "use 1 to 63 of a-z, 0-9, '.', '_' and '-', the first a letter or digit",
	}
	modelName = nameFormat{
		firstBytes: upperCase + lowerCase + digits, otherBytes: upperCase + lowerCase + digits + "._/:-", maxLength: 127,
		rule: "use 1 to 127 of A-Z, a-z, 0-9, '.', '_', '/', ':' and '-', the first a letter or digit",
	}
	versionName = nameFormat{
		firstBytes: upperCase + lowerCase + digits, otherBytes: upperCase + lowerCase + digits + "._-", maxLength: 63,
		rule: "use 1 to 63 of A-Z, a-z, 0-9, '.', '_' and '-', the first a letter or digit",
	}
)

// matches reports whether a name has the format. An empty name never has it.
func (f nameFormat) matches(name string) bool {
	if name == "" || len(name) > f.maxLength || strings.IndexByte(f.firstBytes, name[0]) < 0 {
		return false
	}
	for i := 1; i < len(name); i++ {
		if strings.IndexByte(f.otherBytes, name[i]) < 0 {
			return false
		}
	}
	return true
}
