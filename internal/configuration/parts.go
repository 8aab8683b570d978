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

// organisationsPerPart is the target for the average number of organisations in
// one part. A change of one organisation rewrites one part, so smaller parts
// make a change cheaper; but the manifest grows with the number of parts.
const organisationsPerPart = 64

// maxSectionBytes is the largest size of a part's content after decompression.
// It bounds the memory that decoding a part takes.
const maxSectionBytes = 16 << 20

// Part is one encoded piece of a configuration, named by the hash of its
// content.
type Part struct {
	// Hash is the result of PartHash for Bytes, which are the compressed
	// content.
	Hash  string
	Bytes []byte
}

// section is the decoded content of one part: a configuration in which most
// lists are left out.
type section struct {
	DataCentres            []intent.DataCentre   `json:"data_centres,omitempty"`
	Models                 []intent.Model        `json:"models,omitempty"`
	Services               []intent.Service      `json:"services,omitempty"`
	Kinds                  []intent.Kind         `json:"kinds,omitempty"`
	Organisations          []intent.Organisation `json:"organisations,omitempty"`
	EnginesCheckingFencing []string              `json:"checks_fencing,omitempty"`
}

// Split encodes a configuration as parts. Equal configurations give equal
// parts. A change of one organisation changes one part only, unless it makes
// the number of organisations pass organisationsPerPart times a power of two,
// because then the organisations are distributed over more or fewer parts.
// Split returns an error if there would be too many parts or a part would be
// too large.
func Split(c intent.Configuration) ([]Part, error) {
	c = c.Canonical()
	sections := []section{{DataCentres: c.DataCentres, Models: c.Models, Services: c.Services, Kinds: c.Kinds}}
	if len(c.Orders.ChecksFencing) > 0 {
		sections = append(sections, section{EnginesCheckingFencing: c.Orders.ChecksFencing})
	}
	for _, group := range groupOrganisations(c.Organisations) {
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

// groupOrganisations distributes organisations over groups by a hash of their
// names. The number of groups is a power of two.
func groupOrganisations(all []intent.Organisation) [][]intent.Organisation {
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

// encodePart encodes a section as JSON and compresses it.
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

// decodePart decompresses and decodes one part. It ignores unknown fields,
// which a newer program may have added.
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

// joinSections merges sections into one configuration in canonical order.
func joinSections(sections []section) intent.Configuration {
	var c intent.Configuration
	for _, s := range sections {
		c.DataCentres = append(c.DataCentres, s.DataCentres...)
		c.Models = append(c.Models, s.Models...)
		c.Services = append(c.Services, s.Services...)
		c.Kinds = append(c.Kinds, s.Kinds...)
		c.Organisations = append(c.Organisations, s.Organisations...)
		c.Orders.ChecksFencing = append(c.Orders.ChecksFencing, s.EnginesCheckingFencing...)
	}
	return c.Canonical()
}

// Join decodes the parts that a manifest names and merges them into a
// configuration. It returns an error if a part is missing from parts, cannot be
// decoded, or does not match its hash.
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
	return joinSections(sections), nil
}
