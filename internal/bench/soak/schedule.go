package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Fault is a kind of fault, or of planned work that interrupts a process.
type Fault string

// Kinds of faults: first those of hosts, then those of the connections to the
// store, of the connections between hosts, of the store, of servers, and of callers.
const (
	hostStop   Fault = "host is stopped and started"
	hostReload Fault = "host is told to read its settings"
	hostKill   Fault = "host is killed"
	hostPause  Fault = "host is paused"

	storeLinkCut           Fault = "host is cut off from the store"
	storeLinkResponsesLost Fault = "host gets no answers from the store"
	storeLinkBlackholed    Fault = "connections to the store fall silent"
	storeLinkReset         Fault = "connections to the store are reset"
	storeLinkDelayed       Fault = "the store answers late"

	peerLinkCut        Fault = "host gets nothing from other hosts"
	peerLinkBlackholed Fault = "connections from other hosts fall silent"
	peerLinkReset      Fault = "connections from other hosts are reset"

	storeDown           Fault = "store refuses all calls"
	storeWatchesStalled Fault = "watches miss changes"
	storeCompact        Fault = "store forgets its history"

	serverFull              Fault = "server refuses for lack of room"
	serverFailing           Fault = "server answers failures"
	serverHangs             Fault = "server answers nothing"
	serverTruncates         Fault = "server breaks answers off"
	serverWrongRequest      Fault = "server answers other requests"
	serverLinkCut           Fault = "server is cut off"
	serverLinkResponsesLost Fault = "server's answers are lost"
	serverLinkBlackholed    Fault = "connections to a server fall silent"
	serverLinkReset         Fault = "connections to a server are reset"
	serverLinkDelayed       Fault = "server is far away"
	serverReplaced          Fault = "server leaves and another one comes"
	serverCrashes           Fault = "server crashes and starts again"
	serverAsksForRest       Fault = "server refuses and asks for rest"
	serverAnnouncesEnd      Fault = "server announces its end in its answers, and another one comes"

	promptsCrashServers  Fault = "prompts with one part crash servers"
	repeatCrashesServers Fault = "one request crashes servers again and again"
)

// isPlanned reports whether the fault is work that operators plan, during which no
// request may be lost.
func (f Fault) isPlanned() bool {
	return f == hostStop || f == hostReload || f == serverReplaced || f == serverAnnouncesEnd
}

// targetKind is the kind of component that a fault affects.
type targetKind int

const (
	targetHost targetKind = iota
	targetStore
	targetServer
	targetCallers
)

// faultCatalogue lists the kinds of faults that are drawn, with the component that
// each affects and the longest time that it lasts; the time is 0 for faults that
// have no duration.
var faultCatalogue = []struct {
	fault       Fault
	targetKind  targetKind
	maxDuration time.Duration
}{
	{hostStop, targetHost, 0},
	{hostReload, targetHost, 0},
	{hostKill, targetHost, 2 * time.Second},
	{hostPause, targetHost, 4 * time.Second},
	{storeLinkCut, targetHost, 6 * time.Second},
	{storeLinkResponsesLost, targetHost, 4 * time.Second},
	{storeLinkBlackholed, targetHost, 0},
	{storeLinkReset, targetHost, 0},
	{storeLinkDelayed, targetHost, 4 * time.Second},
	{peerLinkCut, targetHost, 4 * time.Second},
	{peerLinkBlackholed, targetHost, 0},
	{peerLinkReset, targetHost, 0},
	{storeDown, targetStore, 5 * time.Second},
	{storeWatchesStalled, targetStore, 4 * time.Second},
	{storeCompact, targetStore, 0},
	{serverFull, targetServer, 3 * time.Second},
	{serverFailing, targetServer, 3 * time.Second},
	{serverHangs, targetServer, 3 * time.Second},
	{serverTruncates, targetServer, 3 * time.Second},
	{serverWrongRequest, targetServer, 3 * time.Second},
	{serverLinkCut, targetServer, 4 * time.Second},
	{serverLinkResponsesLost, targetServer, 4 * time.Second},
	{serverLinkBlackholed, targetServer, 0},
	{serverLinkReset, targetServer, 0},
	{serverLinkDelayed, targetServer, 4 * time.Second},
	{serverReplaced, targetServer, 0},
	{serverCrashes, targetServer, 0},
	{serverAsksForRest, targetServer, 6 * time.Second},
	{serverAnnouncesEnd, targetServer, 0},
	{promptsCrashServers, targetCallers, 12 * time.Second},
	{repeatCrashesServers, targetCallers, 12 * time.Second},
}

// scheduledFault is one fault of a schedule.
type scheduledFault struct {
	// start is the time since the start of the soak test.
	start time.Duration
	fault Fault
	// targetIndex is the index of the host or of the server, and 0 for the store.
	targetIndex int
	targetKind  targetKind
	// duration is how long the fault lasts, or 0 if its kind has no duration.
	duration time.Duration
}

// followUpProbability is the probability that a second fault follows within 1 s,
// which overlaps the first or comes soon after it. If it affects the same kind of
// component, it has the same target.
const followUpProbability = 0.25

// drawSchedule draws the faults of a soak test from its seed.
func drawSchedule(c Config) []scheduledFault {
	random := rand.New(rand.NewPCG(c.Seed, c.Seed))
	var faults []scheduledFault
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() * float64(c.FaultEvery))
		if at >= c.Length {
			return faults
		}
		s := drawFault(random, c, at)
		faults = append(faults, s)
		if random.Float64() < followUpProbability {
			followUp := drawFault(random, c, at+time.Duration(random.Float64()*float64(time.Second)))
			if followUp.targetKind == s.targetKind {
				followUp.targetIndex = s.targetIndex
			}
			faults = append(faults, followUp)
		}
	}
}

// drawFault draws the kind, the target and the duration of a fault. The duration is
// between 0.2 times the longest one of the kind and all of it.
func drawFault(random *rand.Rand, c Config, at time.Duration) scheduledFault {
	kind := faultCatalogue[random.IntN(len(faultCatalogue))]
	s := scheduledFault{start: at, fault: kind.fault, targetKind: kind.targetKind}
	s.duration = time.Duration((0.2 + 0.8*random.Float64()) * float64(kind.maxDuration))
	switch kind.targetKind {
	case targetHost:
		s.targetIndex = random.IntN(c.Hosts)
	case targetServer:
		s.targetIndex = random.IntN(c.Engines + c.Desks)
	}
	return s
}

// String describes the fault with its start, kind, target and duration.
func (s scheduledFault) String() string {
	return fmt.Sprintf("%v: %s (%d) for %v", s.start.Round(time.Millisecond), s.fault, s.targetIndex, s.duration.Round(time.Millisecond))
}
