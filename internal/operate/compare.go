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

// Difference is one value that differs between two configurations. Before or
// After is empty when only the other one has the value.
type Difference struct {
	// Place names entries by name, such as kinds[sanction].max_limit_ms.
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

// Compare lists the values that differ, ordered by place.
func Compare(before, after intent.Configuration) ([]Difference, error) {
	old, err := leaves(before)
	if err != nil {
		return nil, err
	}
	changed, err := leaves(after)
	if err != nil {
		return nil, err
	}
	var all []Difference
	for place, value := range old {
		if changed[place] != value {
			all = append(all, Difference{Place: place, Before: value, After: changed[place]})
		}
	}
	for place, value := range changed {
		if _, known := old[place]; !known {
			all = append(all, Difference{Place: place, After: value})
		}
	}
	slices.SortFunc(all, func(a, b Difference) int { return strings.Compare(a.Place, b.Place) })
	return all, nil
}

// leaves flattens a configuration to its values by place.
func leaves(c intent.Configuration) (map[string]string, error) {
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
	found := make(map[string]string)
	collect("", document, found)
	return found, nil
}

func collect(place string, value any, found map[string]string) {
	switch v := value.(type) {
	case map[string]any:
		for name, field := range v {
			collect(strings.TrimPrefix(place+"."+name, "."), field, found)
		}
	case []any:
		for _, element := range v {
			collect(place+"["+entryName(element)+"]", element, found)
		}
	default:
		text, err := json.Marshal(v)
		if err != nil {
			text = []byte(fmt.Sprint(v))
		}
		found[place] = string(text)
	}
}

// entryName is what tells an entry of a list from the others.
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
