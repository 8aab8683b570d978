package dispatch

import "strings"

// candidateSet holds the engines that a model's requests may go to, ordered by
// name, and the name of the model version that those engines have loaded.
type candidateSet struct {
	loadedModel string
	engines     []*upstream
}

// candidates returns the engines that may serve a model: the usable ones of
// this data centre, or else the usable ones of other data centres. While a
// version change is under way and no engine has the requested version loaded,
// engines with another version of the same model serve it.
func (c *Core) candidates(model string) candidateSet {
	if set, ok := c.candidateSets[model]; ok {
		return set
	}
	set := c.findCandidates(model)
	c.candidateSets[model] = set
	return set
}

// findCandidates determines the candidates without the cache.
func (c *Core) findCandidates(model string) candidateSet {
	local, remote := c.enginesWithModel(model)
	for _, engines := range [][]*upstream{local, remote} {
		if len(engines) > 0 {
			return candidateSet{loadedModel: model, engines: engines}
		}
	}
	other := c.otherVersion(model)
	if other == "" {
		return candidateSet{}
	}
	local, remote = c.enginesWithModel(other)
	if len(local) > 0 {
		return candidateSet{loadedModel: other, engines: local}
	}
	return candidateSet{loadedModel: other, engines: remote}
}

// enginesWithModel returns the usable engines that have loaded exactly the given
// model, those of this data centre and those of other data centres.
func (c *Core) enginesWithModel(model string) (local, remote []*upstream) {
	for _, u := range c.engines {
		if !u.usable() || !u.hasModel(model) {
			continue
		}
		if u.dataCentre == c.cfg.DataCentre {
			local = append(local, u)
		} else {
			remote = append(remote, u)
		}
	}
	return local, remote
}

// otherVersion returns the name of another version of the model that some
// usable engine has loaded: the one on the most engines of this data centre,
// and the first by name among equals. It returns an empty name if there is
// none.
func (c *Core) otherVersion(model string) string {
	best, mostEngines := "", -1
	for _, u := range c.engines {
		if !u.usable() {
			continue
		}
		for _, loadedModel := range u.models {
			if loadedModel == best || !sameModel(loadedModel, model) {
				continue
			}
			local, _ := c.enginesWithModel(loadedModel)
			if len(local) > mostEngines || (len(local) == mostEngines && loadedModel < best) {
				best, mostEngines = loadedModel, len(local)
			}
		}
	}
	return best
}

// sameModel reports whether two names differ at most in the version, which is
// the part between "@" and "+".
func sameModel(a, b string) bool {
	nameA, adapterA := splitVersion(a)
	nameB, adapterB := splitVersion(b)
	return nameA == nameB && adapterA == adapterB
}

// splitVersion returns the two parts of a model's name around the version: the
// name before "@" and the adapter after "+".
func splitVersion(model string) (name, adapter string) {
	name, rest, _ := strings.Cut(model, "@")
	_, adapter, _ = strings.Cut(rest, "+")
	return name, adapter
}
