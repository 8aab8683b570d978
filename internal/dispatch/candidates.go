package dispatch

import "strings"

// view is the engines that a model's requests may go to, ordered by name, and
// the name of what they hold.
type view struct {
	held    string
	engines []*upstream
}

// candidates returns the engines that may serve a model: usable ones of this
// data centre, else usable ones elsewhere. While a version change is under way
// and no engine has the version wanted, those with another version of the same
// model serve.
func (c *Core) candidates(model string) view {
	if v, ok := c.views[model]; ok {
		return v
	}
	v := c.findCandidates(model)
	c.views[model] = v
	return v
}

func (c *Core) findCandidates(model string) view {
	near, far := c.holders(model)
	for _, engines := range [][]*upstream{near, far} {
		if len(engines) > 0 {
			return view{held: model, engines: engines}
		}
	}
	other := c.otherVersion(model)
	if other == "" {
		return view{}
	}
	near, far = c.holders(other)
	if len(near) > 0 {
		return view{held: other, engines: near}
	}
	return view{held: other, engines: far}
}

// holders returns the usable engines that hold exactly the model named.
func (c *Core) holders(model string) (near, far []*upstream) {
	for _, u := range c.engines {
		if !u.usable() || !u.holds(model) {
			continue
		}
		if u.dataCentre == c.cfg.DataCentre {
			near = append(near, u)
		} else {
			far = append(far, u)
		}
	}
	return near, far
}

// otherVersion names another version of the model that some usable engine
// holds: the one on most engines of this data centre, the first by name among
// equals.
func (c *Core) otherVersion(model string) string {
	best, most := "", -1
	for _, u := range c.engines {
		if !u.usable() {
			continue
		}
		for _, held := range u.models {
			if held == best || !sameModel(held, model) {
				continue
			}
			near, _ := c.holders(held)
			if len(near) > most || (len(near) == most && held < best) {
				best, most = held, len(near)
			}
		}
	}
	return best
}

// sameModel says whether two names differ at most in the version between
// "@" and "+".
func sameModel(a, b string) bool {
	nameA, adapterA := splitVersion(a)
	nameB, adapterB := splitVersion(b)
	return nameA == nameB && adapterA == adapterB
}

func splitVersion(model string) (name, adapter string) {
	name, rest, _ := strings.Cut(model, "@")
	_, adapter, _ = strings.Cut(rest, "+")
	return name, adapter
}
