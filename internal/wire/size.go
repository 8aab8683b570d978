package wire

import "math"

// Size returns the length of the message's frame in bytes without encoding it.
func Size(m Message) int {
	size := HeaderBytes
	switch m := m.(type) {
	case Hello:
		size += stringSize(m.Address)
	case Heartbeat:
		size += heartbeatSize(m)
	case SyncRequest:
		size += stringSize(m.Host) + listSize(m.Sections, sectionSize)
	case TopicMessage:
		size += stringSize(m.Host) + uintSize(uint64(m.Topic)) + stringSize(string(m.Body))
	case SyncOffer:
		size += entriesSize(m.Host, m.DataCentre, m.Entries)
	case SyncWant:
		size += entriesSize(m.Host, m.DataCentre, m.Entries)
	case SyncReply:
		size += stringSize(m.Host) + listSize(m.Members, memberSize)
	}
	return size
}

func heartbeatSize(h Heartbeat) int {
	const stateProbeListing = 3
	size := stateProbeListing + stringSize(h.Host)
	size += uintSize(h.Incarnation) + uintSize(uint64(h.Refutation))
	size += uintSize(uint64(h.TableHash)) + uintSize(h.ConfigVersion)
	size += listSize(h.Members, memberSize) + listSize(h.Loads, loadSize)
	size += listSize(h.Suspected, stringSize) + listSize(h.Leaving, stringSize)
	return size + listSize(h.Contacts, contactSize)
}

func entriesSize(host, dataCentre string, entries []uint32) int {
	entrySize := func(entry uint32) int { return uintSize(uint64(entry)) }
	return stringSize(host) + stringSize(dataCentre) + listSize(entries, entrySize)
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

func sectionSize(s Section) int {
	return stringSize(s.DataCentre) + uintSize(uint64(s.Hash)) + uintSize(s.Weight)
}

func stringSize(s string) int {
	const shortBytes = 31
	switch {
	case len(s) <= shortBytes:
		return 1 + len(s)
	case len(s) <= math.MaxUint8:
		return 2 + len(s)
	default:
		return 3 + len(s)
	}
}

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

func listSize[T any](list []T, item func(T) int) int {
	const shortEntries = 15
	size := 1
	if len(list) > shortEntries {
		size = 3
	}
	for _, v := range list {
		size += item(v)
	}
	return size
}
