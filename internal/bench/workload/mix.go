package workload

import (
	"math"
	"math/rand/v2"
	"sort"
)

// Class groups prompts by length.
type Class string

// The classes by prompt length in tokens.
const (
	ClassShort    Class = "1k-4k"
	ClassMedium   Class = "4k-32k"
	ClassLong     Class = "32k-100k"
	ClassVeryLong Class = "100k-1M"
	ClassService  Class = "service"
)

// Classes lists the prompt classes from short to long.
func Classes() []Class {
	return []Class{ClassShort, ClassMedium, ClassLong, ClassVeryLong}
}

// ClassOf returns the class of a prompt of the given length in tokens.
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

// Mix declares the distribution of prompt and answer lengths.
type Mix struct {
	// BodyMedian is the median of the log-normal body before it is cut to
	// its range, in tokens; a higher one makes all work heavier.
	BodyMedian float64
	// BodySigma is the spread of the body's logarithm; a wider one moves
	// weight from the middle to both ends.
	BodySigma float64
	// BodyMin and BodyMax bound the body, in tokens.
	BodyMin, BodyMax float64
	// TailShare is the share of prompts over BodyMax.
	TailShare float64
	// TailMax is the longest prompt, in tokens; the tail is log-uniform from
	// BodyMax up to it.
	TailMax float64
	// AnswerMean is the mean of the geometric answer length before it is
	// cut, in tokens.
	AnswerMean float64
	// AnswerMin and AnswerMax bound the answers, in tokens.
	AnswerMin, AnswerMax int
}

// DefaultMix is the mix of the users' aim: one prompt in fifty over 100 k
// tokens, a body with a mean of about 8 k and about 208 answer tokens.
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

// PromptTokens draws one prompt length.
func (m Mix) PromptTokens(r *rand.Rand) int {
	if r.Float64() < m.TailShare {
		return int(m.tailQuantile(r.Float64()))
	}
	return int(m.bodyQuantile(r.Float64()))
}

// AnswerTokens draws one answer length.
func (m Mix) AnswerTokens(r *rand.Rand) int {
	return m.answerQuantile(r.Float64())
}

func (m Mix) tailQuantile(u float64) float64 {
	return math.Min(m.TailMax, math.Floor(m.BodyMax*math.Pow(m.TailMax/m.BodyMax, u))+1)
}

func (m Mix) bodyQuantile(u float64) float64 {
	low := m.bodyShareBelow(m.BodyMin)
	high := m.bodyShareBelow(m.BodyMax)
	z := math.Sqrt2 * math.Erfinv(2*(low+u*(high-low))-1)
	length := math.Floor(m.BodyMedian * math.Exp(m.BodySigma*z))
	return math.Max(m.BodyMin, math.Min(m.BodyMax, length))
}

func (m Mix) bodyShareBelow(tokens float64) float64 {
	z := math.Log(tokens/m.BodyMedian) / m.BodySigma
	return 0.5 * (1 + math.Erf(z/math.Sqrt2))
}

func (m Mix) answerQuantile(u float64) int {
	length := int(math.Ceil(-m.AnswerMean * math.Log1p(-u)))
	return max(m.AnswerMin, min(m.AnswerMax, length))
}

// quantileSteps is how finely expectations over the mix are summed.
const quantileSteps = 4096

// MeanOverPrompts returns the mean of f over the prompt lengths of the mix.
func (m Mix) MeanOverPrompts(f func(tokens float64) float64) float64 {
	var body, tail float64
	for i := range quantileSteps {
		u := (float64(i) + 0.5) / quantileSteps
		body += f(m.bodyQuantile(u))
		tail += f(m.tailQuantile(u))
	}
	return ((1-m.TailShare)*body + m.TailShare*tail) / quantileSteps
}

// MeanPromptTokens is the declared mean prompt length.
func (m Mix) MeanPromptTokens() float64 {
	return m.MeanOverPrompts(func(tokens float64) float64 { return tokens })
}

// MeanBodyTokens is the declared mean length of prompts up to BodyMax.
func (m Mix) MeanBodyTokens() float64 {
	body := m
	body.TailShare = 0
	return body.MeanPromptTokens()
}

// MeanAnswerTokens is the declared mean answer length after the bounds.
func (m Mix) MeanAnswerTokens() float64 {
	var sum float64
	for i := range quantileSteps {
		sum += float64(m.answerQuantile((float64(i) + 0.5) / quantileSteps))
	}
	return sum / quantileSteps
}

// ClassShares returns the declared share of each prompt class.
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

// weighted draws an index with a probability in proportion to its weight.
type weighted struct {
	sums []float64
}

func newWeighted(weights []float64) weighted {
	w := weighted{sums: make([]float64, len(weights))}
	total := 0.0
	for i, weight := range weights {
		total += weight
		w.sums[i] = total
	}
	return w
}

func (w weighted) draw(r *rand.Rand) int {
	at := r.Float64() * w.sums[len(w.sums)-1]
	return min(sort.SearchFloat64s(w.sums, at), len(w.sums)-1)
}
