package platform

import (
	"math/rand/v2"
	"slices"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// Faults describes the faults that are injected into every call until they are
// replaced. The zero value injects none.
type Faults struct {
	// Down makes the stand-in answer every call with status 503.
	Down bool `json:"down"`
	// CutOff lists the data centres whose calls are dropped without being
	// applied.
	CutOff []string `json:"cut_off,omitempty"`
	// ExtraDelayMillis is added to the latency, in milliseconds.
	ExtraDelayMillis int `json:"extra_delay_ms"`
	// LoseAnswerProbability is the probability that a call is applied but its
	// connection is dropped without an answer, from 0 to 1.
	LoseAnswerProbability float64 `json:"lose_answer_probability"`
	// LoseRequestProbability is the probability that the connection is dropped
	// and nothing is applied, from 0 to 1.
	LoseRequestProbability float64 `json:"lose_request_probability"`
	// SilentWatch makes the stand-in accept watches and never answer them.
	SilentWatch bool `json:"silent_watch"`
	// Seed initialises the random generator that decides by the probabilities.
	Seed uint64 `json:"seed"`
}

// Validate returns a finding for every invalid field.
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

// callFaults is the set of faults that apply to one call.
type callFaults struct {
	down        bool
	loseRequest bool
	loseAnswer  bool
	silent      bool
}

// drawForCall decides at random which faults apply to a call from the data
// centre.
func (f Faults) drawForCall(random *rand.Rand, dataCentre string, kind Kind) callFaults {
	// Both random numbers are drawn for every call, so that a change of one
	// probability does not shift the random sequence of the other.
	request, answer := random.Float64(), random.Float64()
	return callFaults{
		down:        f.Down,
		loseRequest: request < f.LoseRequestProbability || slices.Contains(f.CutOff, dataCentre),
		loseAnswer:  answer < f.LoseAnswerProbability,
		silent:      f.SilentWatch && kind == KindWatch,
	}
}
