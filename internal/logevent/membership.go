package logevent

import "github.com/apex/log"

// Events of the traffic between hosts, 2000 to 2099.
var (
	PeerConnected      = declare(2000, log.DebugLevel, "peer connected", "A connection to another host was opened.")
	PeerLost           = declare(2001, log.InfoLevel, "peer connection lost", "A connection to another host broke; it is opened again while there is something to send.")
	PeerSilent         = declare(2002, log.WarnLevel, "peer connection silent", "Nothing came back on an open connection; a new one is opened. Often seen: look at what lies between the hosts.")
	PeerDialFailed     = declare(2003, log.InfoLevel, "peer cannot be reached", "A connection to another host could not be opened; it is tried again with growing pauses.")
	PeerRefused        = declare(2004, log.WarnLevel, "inbound connection refused", "A connection from another host sent what the protocol does not allow, or there are too many. Look for other software or another release at the remote address.")
	PeerMessageInvalid = declare(2005, log.ErrorLevel, "message to peer not sent", "A message exceeds the protocol's bounds. Report it as a fault.")
)

// Events of the membership of hosts, 2100 to 2199.
var (
	MemberChanged        = declare(2100, log.InfoLevel, "member changed", "What is believed of another host is different now: alive, suspect, leaving or dead.")
	MemberReplaced       = declare(2101, log.InfoLevel, "member replaced", "A later process of a host was heard of; the work of the earlier one is cancelled unless it was leaving.")
	DataCentreCutOff     = declare(2102, log.WarnLevel, "data centre cannot be reached", "Nothing was heard of another data centre for a while; its hosts are shown as suspect. Look at the links between the data centres.")
	DataCentreBack       = declare(2103, log.InfoLevel, "data centre reached again", "Another data centre is heard of again.")
	OwnIncarnationRaised = declare(2104, log.WarnLevel, "own incarnation raised", "An earlier process at this address had a higher incarnation, as the wall clock went back. Look at the clock of this host.")
	OwnNameTaken         = declare(2105, log.ErrorLevel, "own name taken", "Another process with this host's name and a later start runs at another address; this one finishes its work and stops. Give every host a name of its own.")
	DirectoryUnreadable  = declare(2106, log.WarnLevel, "list of hosts not read", "The platform's list of hosts could not be read; known hosts are kept. New hosts are found once it answers.")
)
