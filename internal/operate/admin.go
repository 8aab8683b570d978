// Package operate contains what the operators' tool does apart from its command
// line: it queries hosts on their admin addresses, compares configurations, and
// determines on which hosts a version is in force.
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
	// requestTimeout bounds one request to a host.
	requestTimeout = 3 * time.Second
	// maxConcurrentRequests is how many hosts are queried at the same time.
	maxConcurrentRequests = 32
	// maxResponseBytes bounds the response of a host.
	maxResponseBytes = 64 << 20
)

// ErrNotKnown means that a host has nothing under the requested name.
var ErrNotKnown = errors.New("not known to this host")

// HostStatus is the status that a host reports, or the reason why it is not known.
type HostStatus struct {
	Address       string `json:"address"`
	Host          string `json:"host,omitempty"`
	DataCentre    string `json:"data_centre,omitempty"`
	ConfigVersion uint64 `json:"config_version"`
	Ready         bool   `json:"ready"`
	Draining      bool   `json:"draining"`
	// Error is the reason why the host could not be queried; it is empty otherwise.
	Error string `json:"error,omitempty"`
}

// HostDump is the state of a host, or the reason why it is not known.
type HostDump struct {
	Address string          `json:"address"`
	State   json.RawMessage `json:"state,omitempty"`
	Error   string          `json:"error,omitempty"`
}

// Decision is one decision that a host took for a request.
type Decision struct {
	// AtMillis is the time of the decision, in Unix milliseconds.
	AtMillis int64 `json:"at_ms"`
	// Host is the name of the host, or its admin address if it sent no name.
	Host string `json:"host"`
	// Decision names what was decided; Detail describes the circumstances.
	Decision string `json:"decision"`
	Detail   string `json:"detail"`
}

// Admin queries hosts on their admin addresses.
type Admin struct {
	// Addresses are the admin addresses of the hosts, each ip:port.
	Addresses []string
}

// Status queries every host for its status. The result has the order of the
// addresses.
func (a Admin) Status(ctx context.Context) []HostStatus {
	statuses := make([]HostStatus, len(a.Addresses))
	a.forEachHost(func(i int, address string) {
		err := getJSON(ctx, address, "/status", &statuses[i])
		statuses[i].Address = address
		statuses[i].Error = errorText(err)
	})
	return statuses
}

// Dump queries every host for its state. The result has the order of the
// addresses.
func (a Admin) Dump(ctx context.Context) []HostDump {
	dumps := make([]HostDump, len(a.Addresses))
	a.forEachHost(func(i int, address string) {
		dumps[i].Address = address
		dumps[i].Error = errorText(getJSON(ctx, address, "/dump", &dumps[i].State))
	})
	return dumps
}

// Decisions collects the decisions that all hosts took for a request, ordered by
// time, and the hosts that could not be queried. A host that does not know the
// request is not among the latter.
func (a Admin) Decisions(ctx context.Context, request string) ([]Decision, []HostStatus) {
	parts := make([][]Decision, len(a.Addresses))
	failures := make([]error, len(a.Addresses))
	a.forEachHost(func(i int, address string) {
		failures[i] = getJSON(ctx, address, "/account/"+url.PathEscape(request), &parts[i])
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

// forEachHost calls do for every address, for up to maxConcurrentRequests of them
// at the same time, and waits for all.
func (a Admin) forEachHost(do func(i int, address string)) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentRequests)
	for i, address := range a.Addresses {
		group.Go(func() error {
			do(i, address)
			return nil
		})
	}
	_ = group.Wait()
}

// errorText returns the text of an error, or an empty string for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// getJSON reads one JSON document from a host into result.
func getJSON(ctx context.Context, address, path string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrapf(err, "read the answer of %s", address)
	}
	return errors.Wrapf(json.Unmarshal(body, result), "read the answer of %s", address)
}
