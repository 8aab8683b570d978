package intent

import (
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// MaxDocumentBytes is the size of the largest document that Parse accepts, in bytes.
const MaxDocumentBytes = 64 << 20

// Parse reads a configuration that was printed by Print or written by hand. It
// refuses unknown fields, duplicate fields and values of a wrong type; the error
// lists all of them with their places and is a finding.Error. Parse does not
// check the values themselves; Check does.
func Parse(r io.Reader) (Configuration, error) {
	body, err := io.ReadAll(io.LimitReader(r, MaxDocumentBytes+1))
	if err != nil {
		return Configuration{}, errors.Wrap(err, "read the configuration")
	}
	if len(body) > MaxDocumentBytes {
		return Configuration{}, findingError("document", "is longer than "+strconv.Itoa(MaxDocumentBytes)+" bytes")
	}
	s := documentScanner{decoder: json.NewDecoder(bytes.NewReader(body))}
	s.decoder.UseNumber()
	if err := s.scanDocument(reflect.TypeFor[Configuration]()); err != nil {
		return Configuration{}, findingError("document", "is no valid JSON after byte "+
			strconv.FormatInt(s.decoder.InputOffset(), 10)+": "+err.Error())
	}
	if err := s.findings.Err(); err != nil {
		return Configuration{}, err
	}
	var c Configuration
	if err := json.Unmarshal(body, &c); err != nil {
		return Configuration{}, findingError("document", err.Error())
	}
	return c, nil
}

// findingError returns an error with a single finding.
func findingError(place, problem string) error {
	return finding.List{{Place: place, Problem: problem}}.Err()
}

// documentScanner walks through a JSON document together with the Go type that
// the document is to be decoded into, and collects where they differ.
type documentScanner struct {
	decoder  *json.Decoder
	findings finding.List
	// depth is the number of values that contain the current one, itself included.
	depth int
}

// maxDepth is the deepest nesting of values that is accepted. Without it, the
// scanner's recursion would grow with the document.
const maxDepth = 32

// scanDocument walks through the whole document and checks that nothing follows
// it. An error means that the document is not valid JSON.
func (s *documentScanner) scanDocument(t reflect.Type) error {
	if err := s.scanValue("", t); err != nil {
		return err
	}
	if _, err := s.decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more follows the document's end")
	}
	return nil
}

// scanValue walks through one value, which should have the type t. A nil type
// means that the value belongs to an unknown field or to a value of a wrong type;
// its own types are not checked then.
func (s *documentScanner) scanValue(place string, t reflect.Type) error {
	token, err := s.decoder.Token()
	if err != nil {
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	s.depth++
	defer func() { s.depth-- }()
	if s.depth > maxDepth {
		return errors.Errorf("objects and lists are nested deeper than %d", maxDepth)
	}
	switch token {
	case json.Delim('{'):
		return s.scanObject(place, s.checkKind(place, t, reflect.Struct, "an object"))
	case json.Delim('['):
		return s.scanList(place, s.checkKind(place, t, reflect.Slice, "a list"))
	}
	s.checkScalar(place, t, token)
	return nil
}

// checkKind returns the type if it is of the given kind. Otherwise it adds a
// finding, in which the text found describes the JSON value, and returns nil. It
// returns nil without a finding for a nil type.
func (s *documentScanner) checkKind(place string, t reflect.Type, kind reflect.Kind, found string) reflect.Type {
	if t == nil || t.Kind() == kind {
		return t
	}
	s.addMismatch(place, t, found)
	return nil
}

// addMismatch adds the finding that the value found has not the type t.
func (s *documentScanner) addMismatch(place string, t reflect.Type, found string) {
	if place == "" {
		place = "document"
	}
	s.findings.Add(place, "is "+found+"; use "+describeType(t))
}

// scanObject walks through the fields of an object whose opening brace was read,
// up to its closing brace. It adds a finding for each field given twice.
func (s *documentScanner) scanObject(place string, t reflect.Type) error {
	seen := make(map[string]bool)
	for s.decoder.More() {
		token, err := s.decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		at := strings.TrimPrefix(place+"."+name, ".")
		if seen[name] {
			s.findings.Add(at, "is given twice; remove one")
		}
		seen[name] = true
		if err := s.scanValue(at, s.fieldType(at, t, name)); err != nil {
			return err
		}
	}
	_, err := s.decoder.Token()
	return err
}

// fieldType returns the type of the struct field with the JSON name, or nil
// after a finding if the struct has no such field.
func (s *documentScanner) fieldType(place string, t reflect.Type, name string) reflect.Type {
	if t == nil {
		return nil
	}
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if tag == name {
			return t.Field(i).Type
		}
	}
	s.findings.Add(place, "is no known field; use one of "+strings.Join(fieldNames(t), ", "))
	return nil
}

// fieldNames returns the JSON names of a struct's fields, in their order.
func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i], _, _ = strings.Cut(t.Field(i).Tag.Get("json"), ",")
	}
	return names
}

// scanList walks through the elements of a list whose opening bracket was read,
// up to its closing bracket.
func (s *documentScanner) scanList(place string, t reflect.Type) error {
	var element reflect.Type
	if t != nil {
		element = t.Elem()
	}
	for i := 0; s.decoder.More(); i++ {
		if err := s.scanValue(place+"["+strconv.Itoa(i)+"]", element); err != nil {
			return err
		}
	}
	_, err := s.decoder.Token()
	return err
}

// checkScalar checks the type of a string, boolean, number or null. A null is
// accepted in place of a list only.
func (s *documentScanner) checkScalar(place string, t reflect.Type, token json.Token) {
	if t == nil {
		return
	}
	switch v := token.(type) {
	case string:
		s.checkKind(place, t, reflect.String, "a string")
	case bool:
		s.checkKind(place, t, reflect.Bool, "true or false")
	case json.Number:
		s.checkNumber(place, t, v)
	case nil:
		if t.Kind() != reflect.Slice {
			s.addMismatch(place, t, "null")
		}
	}
}

// checkNumber checks that a number fits the type, whole or floating.
func (s *documentScanner) checkNumber(place string, t reflect.Type, n json.Number) {
	switch t.Kind() {
	case reflect.Int:
		if _, err := strconv.Atoi(n.String()); err != nil {
			s.addMismatch(place, t, "the number "+n.String())
		}
	case reflect.Float64:
		if _, err := n.Float64(); err != nil {
			s.addMismatch(place, t, "the number "+n.String())
		}
	default:
		s.addMismatch(place, t, "a number")
	}
}

// describeType returns the name of a type's JSON form for a finding.
func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "a whole number"
	default:
		return "a number"
	}
}
