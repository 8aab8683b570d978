package configuration

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/intent"
)

// organisationsPerPart is the average number of organisations in one part. A
// change of one organisation rewrites one part; the manifest grows with the
// number of parts.
const organisationsPerPart = 64

// maxSectionBytes bounds a part's content once it is decompressed.
const maxSectionBytes = 16 << 20

// Part is one content-addressed piece of a configuration.
type Part struct {
	Hash  string
	Bytes []byte
}

// section is the content of one part: a configuration with most lists left out.
type section struct {
	DataCentres   []intent.DataCentre   `json:"data_centres,omitempty"`
	Models        []intent.Model        `json:"models,omitempty"`
	Services      []intent.Service      `json:"services,omitempty"`
	Kinds         []intent.Kind         `json:"kinds,omitempty"`
	Organisations []intent.Organisation `json:"organisations,omitempty"`
	Engines       []string              `json:"checks_fencing,omitempty"`
}

// Split encodes a configuration as parts. Equal configurations give equal
// parts, and a change of one organisation changes one part, unless the number
// of organisations passes a power of two times organisationsPerPart.
func Split(c intent.Configuration) ([]Part, error) {
	c = c.Canonical()
	sections := []section{{DataCentres: c.DataCentres, Models: c.Models, Services: c.Services, Kinds: c.Kinds}}
	if len(c.Orders.ChecksFencing) > 0 {
		sections = append(sections, section{Engines: c.Orders.ChecksFencing})
	}
	for _, group := range spread(c.Organisations) {
		if len(group) > 0 {
			sections = append(sections, section{Organisations: group})
		}
	}
	if len(sections) > MaxParts {
		return nil, errors.Errorf("the configuration has %d parts, above %d", len(sections), MaxParts)
	}
	parts := make([]Part, len(sections))
	for i, s := range sections {
		body, err := encodePart(s)
		if err != nil {
			return nil, err
		}
		if len(body) > MaxPartBytes {
			return nil, errors.Errorf("a part of the configuration has %d bytes, above %d; shorten its lists of names", len(body), MaxPartBytes)
		}
		parts[i] = Part{Hash: PartHash(body), Bytes: body}
	}
	return parts, nil
}

// spread groups organisations by a hash of their names.
func spread(all []intent.Organisation) [][]intent.Organisation {
	groups := 1
	for groups*organisationsPerPart < len(all) {
		groups *= 2
	}
	result := make([][]intent.Organisation, groups)
	for _, o := range all {
		i := xxhash.Sum64String(o.Name) % uint64(groups)
		result[i] = append(result[i], o)
	}
	return result
}

// encodePart writes a section as compressed JSON.
func encodePart(s section) ([]byte, error) {
	var body bytes.Buffer
	w, err := flate.NewWriter(&body, flate.BestCompression)
	if err != nil {
		return nil, errors.Wrap(err, "compress a part of the configuration")
	}
	if err := json.NewEncoder(w).Encode(s); err != nil {
		return nil, errors.Wrap(err, "encode a part of the configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress a part of the configuration")
	}
	return body.Bytes(), nil
}

// decodePart reads one part. Fields that a newer program added are passed over.
func decodePart(body []byte) (section, error) {
	var s section
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxSectionBytes+1))
	if err != nil {
		return s, errors.Wrap(err, "decompress a part of the configuration")
	}
	if len(text) > maxSectionBytes {
		return s, errors.Errorf("a part of the configuration has more than %d bytes", maxSectionBytes)
	}
	err = json.Unmarshal(text, &s)
	return s, errors.Wrap(err, "decode a part of the configuration")
}

// join puts sections together in canonical order.
func join(sections []section) intent.Configuration {
	var c intent.Configuration
	for _, s := range sections {
		c.DataCentres = append(c.DataCentres, s.DataCentres...)
		c.Models = append(c.Models, s.Models...)
		c.Services = append(c.Services, s.Services...)
		c.Kinds = append(c.Kinds, s.Kinds...)
		c.Organisations = append(c.Organisations, s.Organisations...)
		c.Orders.ChecksFencing = append(c.Orders.ChecksFencing, s.Engines...)
	}
	return c.Canonical()
}

// Join decodes and puts together the parts of a configuration, whose bytes
// must match the hashes in the manifest.
func Join(m Manifest, parts map[string][]byte) (intent.Configuration, error) {
	sections := make([]section, len(m.Parts))
	for i, hash := range m.Parts {
		body, ok := parts[hash]
		if !ok {
			return intent.Configuration{}, errors.Errorf("version %d lacks part %s", m.Change.Version, hash)
		}
		if PartHash(body) != hash {
			return intent.Configuration{}, errors.Errorf("version %d has a damaged part %s", m.Change.Version, hash)
		}
		s, err := decodePart(body)
		if err != nil {
			return intent.Configuration{}, err
		}
		sections[i] = s
	}
	return join(sections), nil
}
