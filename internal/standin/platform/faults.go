package platform

import (
	"math/rand/v2"
	"slices"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// Faults are injected into every call until they are replaced. The zero value
// injects none.
type Faults struct {
	// Down answers every call with 503.
	Down bool `json:"down"`
	// CutOff lists data centres whose calls are dropped unapplied.
	CutOff []string `json:"cut_off,omitempty"`
	// ExtraDelayMillis is added to the latency, in milliseconds.
	ExtraDelayMillis int `json:"extra_delay_ms"`
	// LoseAnswerProbability applies a call and drops the connection.
	LoseAnswerProbability float64 `json:"lose_answer_probability"`
	// LoseRequestProbability drops the connection and applies nothing.
	LoseRequestProbability float64 `json:"lose_request_probability"`
	// SilentWatch accepts watches and never answers them.
	SilentWatch bool `json:"silent_watch"`
	// Seed starts the generator behind the probabilities.
	Seed uint64 `json:"seed"`
}

// Validate returns every problem found.
func (f Faults) Validate() finding.List {
	var findings finding.List
	if f.ExtraDelayMillis < 0 {
		findings.Add("extra_delay_ms", "must be 0 or more")
	}
	if f.LoseAnswerProbability < 0 || f.LoseAnswerProbability > 1 {
		findings.Add("lose_answer_probability", "must be from 0 to 1")
	}
	if f.LoseRequestProbability < 0 || f.LoseRequestProbability > 1 {
		findings.Add("lose_request_probability", "must be from 0 to 1")
	}
	return findings
}

// fate is what the faults do to one call.
type fate struct {
	down        bool
	loseRequest bool
	loseAnswer  bool
	silent      bool
}

func (f Faults) draw(random *rand.Rand, viewer string, kind Kind) fate {
	// Both numbers are drawn for every call, so that one probability's value
	// does not shift the other's sequence.
	request, answer := random.Float64(), random.Float64()
	return fate{
		down:        f.Down,
		loseRequest: request < f.LoseRequestProbability || slices.Contains(f.CutOff, viewer),
		loseAnswer:  answer < f.LoseAnswerProbability,
		silent:      f.SilentWatch && kind == KindWatch,
	}
}
