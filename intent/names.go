package intent

import "strings"

// nameForm is a set of valid names.
type nameForm struct {
	// first and rest are the bytes allowed at the start and after it.
	first, rest string
	longest     int
	// rule tells an operator what is allowed.
	rule string
}

const (
	digits    = "0123456789"
	lowerCase = "abcdefghijklmnopqrstuvwxyz"
	upperCase = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
)

var (
	plainName = nameForm{
		first: lowerCase + digits, rest: lowerCase + digits + "._-", longest: 63,
		rule: "use 1 to 63 of a-z, 0-9, '.', '_' and '-', the first a letter or digit",
	}
	modelName = nameForm{
		first: upperCase + lowerCase + digits, rest: upperCase + lowerCase + digits + "._/:-", longest: 127,
		rule: "use 1 to 127 of A-Z, a-z, 0-9, '.', '_', '/', ':' and '-', the first a letter or digit",
	}
	versionName = nameForm{
		first: upperCase + lowerCase + digits, rest: upperCase + lowerCase + digits + "._-", longest: 63,
		rule: "use 1 to 63 of A-Z, a-z, 0-9, '.', '_' and '-', the first a letter or digit",
	}
)

func (f nameForm) matches(name string) bool {
	if name == "" || len(name) > f.longest || strings.IndexByte(f.first, name[0]) < 0 {
		return false
	}
	for i := 1; i < len(name); i++ {
		if strings.IndexByte(f.rest, name[i]) < 0 {
			return false
		}
	}
	return true
}
