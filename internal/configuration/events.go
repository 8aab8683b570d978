package configuration

import (
	"time"

	"github.com/chestnutline/chestnutline/intent"
)

// Event is an input of the Tracker's Step method.
type Event interface{ event() }

// Outcome is the result of a call to the object API.
type Outcome int

// Outcomes of a call to the object API.
const (
	// OutcomeAnswered means that the object API answered the call.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed means that the object API was not reached or refused the
	// call, or that its answer was lost.
	OutcomeFailed
)

// Member is one live process as the membership protocol reports it.
type Member struct {
	Host       string
	DataCentre string
}

// Events of the Tracker.
type (
	// Tick lets time pass. It must be sent at least every MaxTickInterval.
	Tick struct{}
	// MembersChanged carries the complete list of live hosts. This host may be
	// on the list or not.
	MembersChanged struct{ Members []Member }
	// PeerVersion reports which version a peer has in force, taken from the
	// digest in its heartbeat or from its Announcement. Version 0 means that
	// the peer has no configuration, Digest 0 that the digest is not known.
	PeerVersion struct {
		Host    string
		Version uint64
		Digest  uint64
	}
	// WatchResult ends a StartWatch. Manifest is nil when the manifest did not
	// change during the wait.
	WatchResult struct {
		// ID is that of the StartWatch.
		ID       uint64
		Outcome  Outcome
		Manifest []byte
		// ReachedStoreVersion is the object API's version that the watch
		// reached, after which the next watch has to start.
		ReachedStoreVersion uint64
	}
	// StoreFetchResult ends a FetchFromStore. Objects that do not exist are
	// left out.
	StoreFetchResult struct {
		// ID is that of the FetchFromStore.
		ID       uint64
		Outcome  Outcome
		Manifest []byte
		Parts    []Part
	}
	// PeerAnswer ends a FetchFromPeer with the peer's answer.
	PeerAnswer struct {
		Host   string
		Answer PartAnswer
	}
	// PeerFetchFailed ends a FetchFromPeer whose request could not be sent or
	// was not answered.
	PeerFetchFailed struct {
		Host string
		// ID is that of the PartRequest.
		ID uint64
	}
)

func (Tick) event()             {}
func (MembersChanged) event()   {}
func (PeerVersion) event()      {}
func (WatchResult) event()      {}
func (StoreFetchResult) event() {}
func (PeerAnswer) event()       {}
func (PeerFetchFailed) event()  {}

// Effect is an output of the Tracker. The caller carries out effects in the
// order in which Step returns them.
type Effect interface{ effect() }

// Effects of the Tracker.
type (
	// StartWatch starts a watch on ManifestKey, over a connection of its own,
	// for changes after the object API's version AfterStoreVersion. The watch
	// ends without a change when Wait has passed. The Tracker chooses the ID,
	// which the WatchResult repeats.
	StartWatch struct {
		ID                uint64
		AfterStoreVersion uint64
		Wait              time.Duration
	}
	// CancelWatch ends a watch early and closes the connection that it uses.
	CancelWatch struct{ ID uint64 }
	// FetchFromStore reads the manifest, the parts with the given hashes, or
	// both from the object API. The Tracker chooses the ID, which the
	// StoreFetchResult repeats.
	FetchFromStore struct {
		ID       uint64
		Manifest bool
		Parts    []string
		// Timeout is the time after which the read counts as failed.
		Timeout time.Duration
	}
	// FetchFromPeer sends a request for parts to a peer.
	FetchFromPeer struct {
		Host    string
		Request PartRequest
	}
	// Announce sends an announcement to a peer. The message may be lost.
	Announce struct {
		Host         string
		Announcement Announcement
	}
	// Apply puts a configuration in force in this process. The versions of
	// successive Apply effects always rise.
	Apply struct {
		Version       uint64
		Digest        uint64
		Change        Change
		Configuration intent.Configuration
	}
	// Report describes something unusual that should be logged. Host and Detail
	// may be empty.
	Report struct {
		Kind    ReportKind
		Version uint64
		Host    string
		Detail  string
	}
)

func (StartWatch) effect()     {}
func (CancelWatch) effect()    {}
func (FetchFromStore) effect() {}
func (FetchFromPeer) effect()  {}
func (Announce) effect()       {}
func (Apply) effect()          {}
func (Report) effect()         {}

// ReportKind is the subject of a Report.
type ReportKind int

// Kinds of Report.
const (
	// ReportWatchSilent means that a watch did not end within its wait and
	// grace time and was replaced.
	ReportWatchSilent ReportKind = iota
	// ReportStoreOutdated means that the object API returned an older version
	// than the one in force.
	ReportStoreOutdated
	// ReportVersionConflict means that two different manifests claim the same
	// version.
	ReportVersionConflict
	// ReportVersionRejected means that an accepted version cannot be read or is
	// invalid, and is not put in force.
	ReportVersionRejected
	// ReportLearnedFromPeers means that a new process took its first version
	// from peers alone, without an answer from the object API.
	ReportLearnedFromPeers
)
