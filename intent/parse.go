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

// MaxDocumentBytes is the longest document that Parse reads.
const MaxDocumentBytes = 64 << 20

// Parse reads a configuration printed by Print or written by hand. It refuses
// unknown fields, duplicate fields and values of a wrong type; the error
// names all of them with their places and is a finding.Error. Parse does not
// Check the configuration's meaning.
func Parse(r io.Reader) (Configuration, error) {
	body, err := io.ReadAll(io.LimitReader(r, MaxDocumentBytes+1))
	if err != nil {
		return Configuration{}, errors.Wrap(err, "read the configuration")
	}
	if len(body) > MaxDocumentBytes {
		return Configuration{}, refuse("document", "is longer than "+strconv.Itoa(MaxDocumentBytes)+" bytes")
	}
	s := scanner{decoder: json.NewDecoder(bytes.NewReader(body))}
	s.decoder.UseNumber()
	if err := s.document(reflect.TypeFor[Configuration]()); err != nil {
		return Configuration{}, refuse("document", "is no valid JSON after byte "+
			strconv.FormatInt(s.decoder.InputOffset(), 10)+": "+err.Error())
	}
	if err := s.findings.Err(); err != nil {
		return Configuration{}, err
	}
	var c Configuration
	if err := json.Unmarshal(body, &c); err != nil {
		return Configuration{}, refuse("document", err.Error())
	}
	return c, nil
}

func refuse(place, problem string) error {
	return finding.List{{Place: place, Problem: problem}}.Err()
}

// scanner walks a JSON document beside the Go type that it should fill.
type scanner struct {
	decoder  *json.Decoder
	findings finding.List
	depth    int
}

// maxDepth bounds the nesting of objects and lists.
const maxDepth = 32

func (s *scanner) document(t reflect.Type) error {
	if err := s.value("", t); err != nil {
		return err
	}
	if _, err := s.decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more follows the document's end")
	}
	return nil
}

// value walks one value. A nil type walks over an unknown one.
func (s *scanner) value(place string, t reflect.Type) error {
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
		return s.object(place, s.expect(place, t, reflect.Struct, "an object"))
	case json.Delim('['):
		return s.list(place, s.expect(place, t, reflect.Slice, "a list"))
	}
	s.scalar(place, t, token)
	return nil
}

// expect returns the type if it is of the kind found, else nil after a finding.
func (s *scanner) expect(place string, t reflect.Type, kind reflect.Kind, found string) reflect.Type {
	if t == nil || t.Kind() == kind {
		return t
	}
	s.mismatch(place, t, found)
	return nil
}

func (s *scanner) mismatch(place string, t reflect.Type, found string) {
	if place == "" {
		place = "document"
	}
	s.findings.Add(place, "is "+found+"; use "+describe(t))
}

func (s *scanner) object(place string, t reflect.Type) error {
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
		if err := s.value(at, s.field(at, t, name)); err != nil {
			return err
		}
	}
	_, err := s.decoder.Token()
	return err
}

func (s *scanner) field(place string, t reflect.Type, name string) reflect.Type {
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

func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i], _, _ = strings.Cut(t.Field(i).Tag.Get("json"), ",")
	}
	return names
}

func (s *scanner) list(place string, t reflect.Type) error {
	var element reflect.Type
	if t != nil {
		element = t.Elem()
	}
	for i := 0; s.decoder.More(); i++ {
		if err := s.value(place+"["+strconv.Itoa(i)+"]", element); err != nil {
			return err
		}
	}
	_, err := s.decoder.Token()
	return err
}

func (s *scanner) scalar(place string, t reflect.Type, token json.Token) {
	if t == nil {
		return
	}
	switch v := token.(type) {
	case string:
		s.expect(place, t, reflect.String, "a string")
	case bool:
		s.expect(place, t, reflect.Bool, "true or false")
	case json.Number:
		s.number(place, t, v)
	case nil:
		if t.Kind() != reflect.Slice {
			s.mismatch(place, t, "null")
		}
	}
}

func (s *scanner) number(place string, t reflect.Type, n json.Number) {
	switch t.Kind() {
	case reflect.Int:
		if _, err := strconv.Atoi(n.String()); err != nil {
			s.mismatch(place, t, "the number "+n.String())
		}
	case reflect.Float64:
		if _, err := n.Float64(); err != nil {
			s.mismatch(place, t, "the number "+n.String())
		}
	default:
		s.mismatch(place, t, "a number")
	}
}

func describe(t reflect.Type) string {
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
