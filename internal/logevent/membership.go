package logevent

import "github.com/apex/log"

// Events of the connections between hosts: 2000 to 2099.
var (
	PeerConnected      = declare(2000, log.DebugLevel, "peer connected", "A connection to another host was opened.")
	PeerLost           = declare(2001, log.InfoLevel, "peer connection lost", "A connection to another host broke. It is opened again as soon as there is something to send.")
	PeerSilent         = declare(2002, log.WarnLevel, "peer connection silent", "Nothing arrived on an open connection for too long; a new connection is opened. If this occurs often, look at the network between the hosts.")
	PeerDialFailed     = declare(2003, log.InfoLevel, "peer cannot be reached", "A connection to another host could not be opened. The host tries again with growing pauses.")
	PeerRefused        = declare(2004, log.WarnLevel, "inbound connection refused", "A connection from another host was closed because it violated the protocol, or because there are too many connections. Look for other software or another release at the remote address.")
	PeerMessageInvalid = declare(2005, log.ErrorLevel, "message to peer not sent", "A message exceeds the size limits of the protocol and was not sent. Report this as a fault.")
)

// Events of the membership of hosts: 2100 to 2199.
var (
	MemberChanged        = declare(2100, log.InfoLevel, "member changed", "The known state of another host changed to alive, suspect, leaving or dead.")
	MemberReplaced       = declare(2101, log.InfoLevel, "member replaced", "A later process of a host was discovered. The work of the earlier process is cancelled unless it was leaving.")
	DataCentreCutOff     = declare(2102, log.WarnLevel, "data centre cannot be reached", "No message arrived from another data centre for some time; its hosts are shown as suspect. Look at the links between the data centres.")
	DataCentreBack       = declare(2103, log.InfoLevel, "data centre reached again", "Messages from another data centre arrive again.")
	OwnIncarnationRaised = declare(2104, log.WarnLevel, "own incarnation raised", "An earlier process at this address had a higher incarnation number, because the wall clock was set back. Look at the clock of this host.")
	OwnNameTaken         = declare(2105, log.ErrorLevel, "own name taken", "Another process with this host's name and a later start runs at another address. This process finishes its work and stops. Give every host a name of its own.")
	DirectoryUnreadable  = declare(2106, log.WarnLevel, "list of hosts not read", "The platform's list of hosts could not be read; the known hosts are kept. New hosts are found once the list can be read again.")
)
