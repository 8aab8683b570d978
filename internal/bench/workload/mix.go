package workload

import (
	"math"
	"math/rand/v2"
	"sort"
)

// Class is a range of prompt lengths, or the class of service calls.
type Class string

// The prompt classes are named after their range of lengths in tokens.
// ClassService stands for service calls.
const (
	ClassShort    Class = "1k-4k"
	ClassMedium   Class = "4k-32k"
	ClassLong     Class = "32k-100k"
	ClassVeryLong Class = "100k-1M"
	ClassService  Class = "service"
)

// Classes returns the prompt classes from short to long, without ClassService.
func Classes() []Class {
	return []Class{ClassShort, ClassMedium, ClassLong, ClassVeryLong}
}

// ClassOf returns the class of a prompt with the given length in tokens.
func ClassOf(tokens int) Class {
	switch {
	case tokens < 4_000:
		return ClassShort
	case tokens < 32_000:
		return ClassMedium
	case tokens <= 100_000:
		return ClassLong
	default:
		return ClassVeryLong
	}
}

// Mix declares the distribution of prompt and answer lengths. Prompts are drawn
// from a log-normal body or, with probability TailShare, from a log-uniform tail
// of longer prompts.
type Mix struct {
	// BodyMedian is the median of the log-normal body before it is truncated to
	// its range, in tokens. A higher median makes all prompts longer.
	BodyMedian float64
	// BodySigma is the standard deviation of the logarithm of the body. A higher
	// value moves weight from the middle to both ends.
	BodySigma float64
	// BodyMin and BodyMax are the limits of the body, in tokens.
	BodyMin, BodyMax float64
	// TailShare is the share of prompts longer than BodyMax, from 0 to 1.
	TailShare float64
	// TailMax is the length of the longest prompt, in tokens. The tail is
	// log-uniform between BodyMax and TailMax.
	TailMax float64
	// AnswerMean is the mean of the geometric answer length before it is limited
	// to its range, in tokens.
	AnswerMean float64
	// AnswerMin and AnswerMax are the limits of the answer length, in tokens.
	AnswerMin, AnswerMax int
}

// DefaultMix returns the mix that the system is designed for: one prompt in fifty
// is over 100 k tokens long, the body has a mean of about 8 k tokens, and answers
// have about 208 tokens.
func DefaultMix() Mix {
	return Mix{
		BodyMedian: 4_600,
		BodySigma:  1,
		BodyMin:    1_000,
		BodyMax:    100_000,
		TailShare:  0.02,
		TailMax:    1_000_000,
		AnswerMean: 208,
		AnswerMin:  16,
		AnswerMax:  1_024,
	}
}

// PromptTokens draws the length of one prompt, in tokens.
func (m Mix) PromptTokens(r *rand.Rand) int {
	if r.Float64() < m.TailShare {
		return int(m.tailQuantile(r.Float64()))
	}
	return int(m.bodyQuantile(r.Float64()))
}

// AnswerTokens draws the length of one answer, in tokens.
func (m Mix) AnswerTokens(r *rand.Rand) int {
	return m.answerQuantile(r.Float64())
}

// tailQuantile returns the prompt length of the tail at a cumulative probability
// from 0 to 1.
func (m Mix) tailQuantile(u float64) float64 {
	return math.Min(m.TailMax, math.Floor(m.BodyMax*math.Pow(m.TailMax/m.BodyMax, u))+1)
}

// bodyQuantile returns the prompt length of the truncated body at a cumulative
// probability from 0 to 1.
func (m Mix) bodyQuantile(u float64) float64 {
	low := m.bodyShareBelow(m.BodyMin)
	high := m.bodyShareBelow(m.BodyMax)
	z := math.Sqrt2 * math.Erfinv(2*(low+u*(high-low))-1)
	length := math.Floor(m.BodyMedian * math.Exp(m.BodySigma*z))
	return math.Max(m.BodyMin, math.Min(m.BodyMax, length))
}

// bodyShareBelow returns the probability that the body, before truncation, is
// below a number of tokens.
func (m Mix) bodyShareBelow(tokens float64) float64 {
	z := math.Log(tokens/m.BodyMedian) / m.BodySigma
	return 0.5 * (1 + math.Erf(z/math.Sqrt2))
}

// answerQuantile returns the answer length at a cumulative probability from 0 to
// 1.
func (m Mix) answerQuantile(u float64) int {
	length := int(math.Ceil(-m.AnswerMean * math.Log1p(-u)))
	return max(m.AnswerMin, min(m.AnswerMax, length))
}

// quantileSteps is the number of equal probability intervals over which means of
// the mix are summed.
const quantileSteps = 4096

// MeanOverPrompts returns the mean of f over the distribution of prompt lengths.
func (m Mix) MeanOverPrompts(f func(tokens float64) float64) float64 {
	var body, tail float64
	for i := range quantileSteps {
		u := (float64(i) + 0.5) / quantileSteps
		body += f(m.bodyQuantile(u))
		tail += f(m.tailQuantile(u))
	}
	return ((1-m.TailShare)*body + m.TailShare*tail) / quantileSteps
}

// MeanPromptTokens returns the mean prompt length of the mix, in tokens.
func (m Mix) MeanPromptTokens() float64 {
	return m.MeanOverPrompts(func(tokens float64) float64 { return tokens })
}

// MeanBodyTokens returns the mean length of the prompts up to BodyMax, in tokens.
func (m Mix) MeanBodyTokens() float64 {
	body := m
	body.TailShare = 0
	return body.MeanPromptTokens()
}

// MeanAnswerTokens returns the mean answer length within AnswerMin and AnswerMax,
// in tokens.
func (m Mix) MeanAnswerTokens() float64 {
	var sum float64
	for i := range quantileSteps {
		sum += float64(m.answerQuantile((float64(i) + 0.5) / quantileSteps))
	}
	return sum / quantileSteps
}

// ClassShares returns the share of each prompt class in the mix.
func (m Mix) ClassShares() map[Class]float64 {
	shares := make(map[Class]float64, len(Classes()))
	for _, class := range Classes() {
		shares[class] = m.MeanOverPrompts(func(tokens float64) float64 {
			if ClassOf(int(tokens)) == class {
				return 1
			}
			return 0
		})
	}
	return shares
}

// weightedIndex draws an index with a probability in proportion to its weight.
type weightedIndex struct {
	cumulative []float64
}

func newWeightedIndex(weights []float64) weightedIndex {
	w := weightedIndex{cumulative: make([]float64, len(weights))}
	total := 0.0
	for i, weight := range weights {
		total += weight
		w.cumulative[i] = total
	}
	return w
}

func (w weightedIndex) draw(r *rand.Rand) int {
	target := r.Float64() * w.cumulative[len(w.cumulative)-1]
	return min(sort.SearchFloat64s(w.cumulative, target), len(w.cumulative)-1)
}
