// Package operate holds what the operators' tool does beyond its command
// line: asking hosts on their admin addresses, comparing configurations, and
// judging where a version is in force.
package operate

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// askTimeout bounds one question to a host.
	askTimeout = 3 * time.Second
	// askAtOnce is how many hosts are asked at once.
	askAtOnce = 32
	// maxAnswerBytes bounds a host's answer.
	maxAnswerBytes = 64 << 20
)

// ErrNotKnown says that a host has nothing under the name asked for.
var ErrNotKnown = errors.New("not known to this host")

// HostStatus is a host's account of itself, or why there is none.
type HostStatus struct {
	Address       string `json:"address"`
	Host          string `json:"host,omitempty"`
	DataCentre    string `json:"data_centre,omitempty"`
	ConfigVersion uint64 `json:"config_version"`
	Ready         bool   `json:"ready"`
	Draining      bool   `json:"draining"`
	// Error says why the host could not be asked.
	Error string `json:"error,omitempty"`
}

// HostDump is a host's state.
type HostDump struct {
	Address string          `json:"address"`
	State   json.RawMessage `json:"state,omitempty"`
	Error   string          `json:"error,omitempty"`
}

// Decision is one entry of a host's account of a request.
type Decision struct {
	AtMillis int64  `json:"at_ms"`
	Host     string `json:"host"`
	Decision string `json:"decision"`
	Detail   string `json:"detail"`
}

// Admin asks hosts on their admin addresses.
type Admin struct {
	// Addresses are ip:port.
	Addresses []string
}

// Status asks every host for its status, in the order of the addresses.
func (a Admin) Status(ctx context.Context) []HostStatus {
	all := make([]HostStatus, len(a.Addresses))
	a.each(func(i int, address string) {
		err := ask(ctx, address, "/status", &all[i])
		all[i].Address = address
		all[i].Error = message(err)
	})
	return all
}

// Dump asks every host for its state, in the order of the addresses.
func (a Admin) Dump(ctx context.Context) []HostDump {
	all := make([]HostDump, len(a.Addresses))
	a.each(func(i int, address string) {
		all[i].Address = address
		all[i].Error = message(ask(ctx, address, "/dump", &all[i].State))
	})
	return all
}

// Decisions collects the decisions taken for a request, ordered by time, and
// the hosts that could not be asked.
func (a Admin) Decisions(ctx context.Context, request string) ([]Decision, []HostStatus) {
	parts := make([][]Decision, len(a.Addresses))
	failures := make([]error, len(a.Addresses))
	a.each(func(i int, address string) {
		failures[i] = ask(ctx, address, "/account/"+url.PathEscape(request), &parts[i])
		for j := range parts[i] {
			parts[i][j].Host = cmp.Or(parts[i][j].Host, address)
		}
	})
	var failed []HostStatus
	for i, err := range failures {
		if err != nil && !errors.Is(err, ErrNotKnown) {
			failed = append(failed, HostStatus{Address: a.Addresses[i], Error: err.Error()})
		}
	}
	decisions := slices.Concat(parts...)
	slices.SortStableFunc(decisions, func(x, y Decision) int { return cmp.Compare(x.AtMillis, y.AtMillis) })
	return decisions, failed
}

func (a Admin) each(do func(i int, address string)) {
	var group errgroup.Group
	group.SetLimit(askAtOnce)
	for i, address := range a.Addresses {
		group.Go(func() error {
			do(i, address)
			return nil
		})
	}
	_ = group.Wait()
}

func message(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// ask reads one JSON answer of a host.
func ask(ctx context.Context, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errors.Wrapf(err, "ask %s", address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "ask %s", address)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return ErrNotKnown
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("ask %s: it answered %s", address, response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrapf(err, "read the answer of %s", address)
	}
	return errors.Wrapf(json.Unmarshal(body, into), "read the answer of %s", address)
}
