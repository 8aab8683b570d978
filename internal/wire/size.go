package wire

import "math"

// Size returns the length of the message's frame in bytes, header included. It
// computes the length without encoding the message. The result is one byte too
// small for a TopicMessage whose body is not nil and has at most 31 bytes,
// because it counts the body as a string.
func Size(m Message) int {
	size := HeaderBytes
	switch m := m.(type) {
	case Hello:
		size += stringSize(m.Address)
	case Heartbeat:
		size += heartbeatSize(m)
	case SyncRequest:
		size += stringSize(m.Host) + listSize(m.Sections, sectionSummarySize)
	case TopicMessage:
		size += stringSize(m.Host) + uintSize(uint64(m.Topic)) + stringSize(string(m.Body))
	case SyncOffer:
		size += entryHashesSize(m.Host, m.DataCentre, m.EntryHashes)
	case SyncFetch:
		size += entryHashesSize(m.Host, m.DataCentre, m.EntryHashes)
	case SyncReply:
		size += stringSize(m.Host) + listSize(m.Members, memberSize)
	}
	return size
}

func heartbeatSize(h Heartbeat) int {
	// State, Probe and HasUpstreamLists take one byte each.
	const fixedFieldBytes = 3
	size := fixedFieldBytes + stringSize(h.Host)
	size += uintSize(h.Incarnation) + uintSize(uint64(h.Refutation))
	size += uintSize(uint64(h.TableHash)) + uintSize(h.ConfigVersion)
	size += listSize(h.Members, memberSize) + listSize(h.Loads, loadSize)
	size += listSize(h.SuspectedUpstreams, stringSize) + listSize(h.LeavingUpstreams, stringSize)
	return size + listSize(h.Contacts, contactSize)
}

func entryHashesSize(host, dataCentre string, hashes []uint32) int {
	hashSize := func(hash uint32) int { return uintSize(uint64(hash)) }
	return stringSize(host) + stringSize(dataCentre) + listSize(hashes, hashSize)
}

func memberSize(m Member) int {
	size := stringSize(m.Host) + stringSize(m.DataCentre) + stringSize(m.Address)
	return size + uintSize(m.Incarnation) + uintSize(uint64(m.Refutation)) + uintSize(uint64(m.State))
}

func loadSize(l UpstreamLoad) int {
	size := stringSize(l.Upstream) + uintSize(uint64(l.Requests))
	size += uintSize(uint64(l.LongPromptTokens))
	return size + uintSize(uint64(l.PrefillTokens)) + uintSize(uint64(l.MemoryTokens))
}

func contactSize(c Contact) int {
	return stringSize(c.DataCentre) + uintSize(uint64(c.AgeMillis))
}

func sectionSummarySize(s SectionSummary) int {
	return stringSize(s.DataCentre) + uintSize(uint64(s.Hash)) + uintSize(s.VersionSum)
}

// stringSize returns the size of a string in msgpack, whose header grows with
// the length of the string.
func stringSize(s string) int {
	const fixStringMaxBytes = 31
	switch {
	case len(s) <= fixStringMaxBytes:
		return 1 + len(s)
	case len(s) <= math.MaxUint8:
		return 2 + len(s)
	default:
		return 3 + len(s)
	}
}

// uintSize returns the size of the shortest msgpack code for the number.
func uintSize(n uint64) int {
	switch {
	case n <= math.MaxInt8:
		return 1
	case n <= math.MaxUint8:
		return 2
	case n <= math.MaxUint16:
		return 3
	case n <= math.MaxUint32:
		return 5
	default:
		return 9
	}
}

// listSize returns the size of a list in msgpack: a header that grows with the
// number of items, and the items.
func listSize[T any](list []T, itemSize func(T) int) int {
	const fixArrayMaxLen = 15
	size := 1
	if len(list) > fixArrayMaxLen {
		size = 3
	}
	for _, v := range list {
		size += itemSize(v)
	}
	return size
}
