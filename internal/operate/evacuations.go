package operate

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Evacuations describes which data centres are out of service and which hosts obey.
type Evacuations struct {
	DataCentres []Evacuation `json:"data_centres"`
	// NotAsked lists the hosts that could not be asked, with the reason.
	NotAsked []string `json:"hosts_not_asked,omitempty"`
}

// Evacuation describes one data centre that at least one host has out of service.
type Evacuation struct {
	DataCentre string `json:"data_centre"`
	// Since is when the first of the hosts that obey learned of it.
	Since time.Time `json:"since"`
	// Obeying and NotObeying list the hosts that were asked.
	Obeying    []string `json:"hosts_obeying"`
	NotObeying []string `json:"hosts_not_obeying,omitempty"`
	// Running is the number of answers of all hosts that still end there.
	Running int `json:"running"`
}

// evacuationState is the part of a host's dump that EvaluateEvacuations reads.
type evacuationState struct {
	Host      string `json:"host"`
	Evacuated []struct {
		DataCentre  string `json:"data_centre"`
		SinceMs     int64  `json:"since_ms"`
		RunningHere int    `json:"running_here"`
	} `json:"evacuated"`
}

// EvaluateEvacuations determines from the dumps of gateways, taken at the given time, which
// data centres are out of service.
func EvaluateEvacuations(dumps []HostDump, now time.Time) Evacuations {
	var result Evacuations
	var asked []string
	byName := make(map[string]*Evacuation)
	for _, d := range dumps {
		var state evacuationState
		if d.Error == "" {
			d.Error = errorText(json.Unmarshal(d.State, &state))
		}
		if d.Error != "" {
			result.NotAsked = append(result.NotAsked, d.Address+": "+d.Error)
			continue
		}
		asked = append(asked, state.Host)
		for _, e := range state.Evacuated {
			since := now.Add(-time.Duration(e.SinceMs) * time.Millisecond)
			known := byName[e.DataCentre]
			if known == nil {
				known = &Evacuation{DataCentre: e.DataCentre, Since: since}
				byName[e.DataCentre] = known
			}
			if since.Before(known.Since) {
				known.Since = since
			}
			known.Obeying = append(known.Obeying, state.Host)
			known.Running += e.RunningHere
		}
	}
	for _, e := range byName {
		for _, host := range asked {
			if !slices.Contains(e.Obeying, host) {
				e.NotObeying = append(e.NotObeying, host)
			}
		}
		result.DataCentres = append(result.DataCentres, *e)
	}
	slices.SortFunc(result.DataCentres, func(a, b Evacuation) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return result
}

// Everywhere reports whether all hosts could be asked and agree.
func (e Evacuations) Everywhere() bool {
	return len(e.NotAsked) == 0 && !slices.ContainsFunc(e.DataCentres, func(d Evacuation) bool { return len(d.NotObeying) > 0 })
}

// String describes the evacuation in one line.
func (e Evacuation) String() string {
	line := fmt.Sprintf("%s is out of service since %s, obeyed by %d of %d hosts, %d answers still end there",
		e.DataCentre, e.Since.UTC().Format("15:04:05.000"), len(e.Obeying), len(e.Obeying)+len(e.NotObeying), e.Running)
	if len(e.NotObeying) > 0 {
		line += "; not by " + strings.Join(e.NotObeying, ", ")
	}
	return line
}
