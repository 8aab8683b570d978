package operate

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/intent"
)

// Difference is one value that differs between two configurations. Before or After
// is empty if only the other configuration has the value.
type Difference struct {
	// Place is the path of the value. It identifies entries of lists by name, as in
	// kinds[sanction].max_limit_ms.
	Place  string `json:"place"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String formats the difference as one line.
func (d Difference) String() string {
	switch {
	case d.Before == "":
		return fmt.Sprintf("+ %s = %s", d.Place, d.After)
	case d.After == "":
		return fmt.Sprintf("- %s = %s", d.Place, d.Before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", d.Place, d.Before, d.After)
	}
}

// Compare returns the values that differ, ordered by place.
func Compare(before, after intent.Configuration) ([]Difference, error) {
	valuesBefore, err := flatten(before)
	if err != nil {
		return nil, err
	}
	valuesAfter, err := flatten(after)
	if err != nil {
		return nil, err
	}
	var differences []Difference
	for place, value := range valuesBefore {
		if valuesAfter[place] != value {
			differences = append(differences, Difference{Place: place, Before: value, After: valuesAfter[place]})
		}
	}
	for place, value := range valuesAfter {
		if _, known := valuesBefore[place]; !known {
			differences = append(differences, Difference{Place: place, After: value})
		}
	}
	slices.SortFunc(differences, func(a, b Difference) int { return strings.Compare(a.Place, b.Place) })
	return differences, nil
}

// flatten returns the values of a configuration by place.
func flatten(c intent.Configuration) (map[string]string, error) {
	body, err := json.Marshal(c.Canonical())
	if err != nil {
		return nil, errors.Wrap(err, "encode the configuration")
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	var document any
	if err := decoder.Decode(&document); err != nil {
		return nil, errors.Wrap(err, "decode the configuration")
	}
	values := make(map[string]string)
	collectValues("", document, values)
	return values, nil
}

// collectValues adds the value at a place, or all values below it, to values.
func collectValues(place string, value any, values map[string]string) {
	switch v := value.(type) {
	case map[string]any:
		for name, field := range v {
			collectValues(strings.TrimPrefix(place+"."+name, "."), field, values)
		}
	case []any:
		for _, element := range v {
			collectValues(place+"["+entryName(element)+"]", element, values)
		}
	default:
		text, err := json.Marshal(v)
		if err != nil {
			text = []byte(fmt.Sprint(v))
		}
		values[place] = string(text)
	}
}

// entryName returns what distinguishes an entry of a list from the others: its
// name or its data centre, or the entry itself if it is a plain value.
func entryName(element any) string {
	entry, ok := element.(map[string]any)
	if !ok {
		return fmt.Sprint(element)
	}
	for _, field := range []string{"name", "data_centre"} {
		if name, ok := entry[field].(string); ok {
			return name
		}
	}
	return "?"
}
