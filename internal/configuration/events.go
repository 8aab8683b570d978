package configuration

import (
	"time"

	"github.com/chestnutline/chestnutline/intent"
)

// Event is an input of the Tracker.
type Event interface{ event() }

// Outcome says how a call to the object API ended.
type Outcome int

// Outcomes of a call.
const (
	// OutcomeAnswered says that the object API answered.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed says that it was not reached, refused the call or lost the answer.
	OutcomeFailed
)

// Member is one live process as membership sees it.
type Member struct {
	Host       string
	DataCentre string
}

// Events of the Tracker.
type (
	// Tick lets time pass; it is due at least every TickEvery.
	Tick struct{}
	// MembersChanged gives the whole list of live hosts, this one included or not.
	MembersChanged struct{ Members []Member }
	// PeerVersion tells what a peer has in force, from its heartbeat digest or
	// its Announcement. Version 0 means that it has none; Digest 0 is unknown.
	PeerVersion struct {
		Host    string
		Version uint64
		Digest  uint64
	}
	// WatchResult ends a StartWatch. Manifest is nil when nothing changed.
	WatchResult struct {
		ID       uint64
		Outcome  Outcome
		Manifest []byte
		// ReachedStoreVersion is the object API's version to watch from next.
		ReachedStoreVersion uint64
	}
	// StoreFetchResult ends a FetchFromStore. Objects that do not exist are left out.
	StoreFetchResult struct {
		ID       uint64
		Outcome  Outcome
		Manifest []byte
		Parts    []Part
	}
	// PeerAnswer ends a FetchFromPeer.
	PeerAnswer struct {
		Host   string
		Answer PartAnswer
	}
	// PeerFetchFailed ends a FetchFromPeer that could not be sent or answered.
	PeerFetchFailed struct {
		Host string
		ID   uint64
	}
)

func (Tick) event()             {}
func (MembersChanged) event()   {}
func (PeerVersion) event()      {}
func (WatchResult) event()      {}
func (StoreFetchResult) event() {}
func (PeerAnswer) event()       {}
func (PeerFetchFailed) event()  {}

// Effect is an output of the Tracker, to be carried out in the order given.
type Effect interface{ effect() }

// Effects of the Tracker.
type (
	// StartWatch asks for a watch on ManifestKey over a connection of its own.
	StartWatch struct {
		ID                uint64
		AfterStoreVersion uint64
		Wait              time.Duration
	}
	// CancelWatch gives a watch up, and the connection it uses.
	CancelWatch struct{ ID uint64 }
	// FetchFromStore reads the manifest or parts from the object API.
	FetchFromStore struct {
		ID       uint64
		Manifest bool
		Parts    []string
		// Timeout is when the read counts as failed.
		Timeout time.Duration
	}
	// FetchFromPeer sends a request to a peer.
	FetchFromPeer struct {
		Host    string
		Request PartRequest
	}
	// Announce sends an announcement to a peer. It may be lost.
	Announce struct {
		Host         string
		Announcement Announcement
	}
	// Apply puts a configuration in force. Versions only rise.
	Apply struct {
		Version       uint64
		Digest        uint64
		Change        Change
		Configuration intent.Configuration
	}
	// Report is for the log.
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

// ReportKind tells what a Report is about.
type ReportKind int

// Kinds of Report.
const (
	// ReportWatchSilent says that a watch did not end in its time and was replaced.
	ReportWatchSilent ReportKind = iota
	// ReportStoreOutdated says that the object API returned an older version than the one in force.
	ReportStoreOutdated
	// ReportVersionConflict says that two different manifests claim one version.
	ReportVersionConflict
	// ReportVersionRejected says that an accepted version cannot be read and is not put in force.
	ReportVersionRejected
	// ReportLearnedFromPeers says that a fresh process took its first version from peers alone.
	ReportLearnedFromPeers
)
