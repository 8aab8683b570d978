package fleet

import (
	"fmt"
	"net"

	"github.com/pkg/errors"
)

// The ports that the programs listen on. Hosts share the same ports, since each
// host has an address of its own.
const (
	portLock           = 6999
	portPlatform       = 7000
	portCallers        = 8080
	portAdmin          = 8081
	portPeer           = 8082
	portUpstream       = 9000
	portStandInControl = 9900
	// portControllerAdmin is the controller's admin port, on the address of the
	// entry host.
	portControllerAdmin = 8091
)

// The third octet of each address within a block, by what the address is for.
const (
	netPlatform      = 0
	netDataCentre    = 1   // and up, one for each data centre
	netPlatformRelay = 40  // and up, one for each data centre
	netCallerRelay   = 60  // and up, one for each data centre
	netPeerRelay     = 80  // and up, one for each data centre
	netUpstreamRelay = 100 // and up, ten for each data centre whose hosts use the relays
)

// The fourth octet of each address within a data centre.
const (
	firstHostOctet = 10
	engineOctet    = 100
	serviceOctet   = 200
	// The control addresses of the stand-ins are in the platform's subnet; each
	// data centre has one for its engines and one for its services, counted up
	// from these octets.
	engineControlOctet  = 10
	serviceControlOctet = 20
)

const (
	lowestBlock         = 16
	highestBlock        = 250
	upstreamRelayStride = 10
)

// AddressBlock is a range of loopback addresses (127.N.0.0/16) that one run uses
// alone.
type AddressBlock struct {
	number int
	lock   net.Listener
}

// NewAddressBlock reserves the first range that no other run holds. A run holds a
// range by listening on the lock port of one of its addresses.
func NewAddressBlock() (*AddressBlock, error) {
	for number := lowestBlock; number <= highestBlock; number++ {
		lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", number, portLock))
		if err == nil {
			return &AddressBlock{number: number, lock: lock}, nil
		}
	}
	return nil, errors.Errorf("no range of addresses from 127.%d to 127.%d is free", lowestBlock, highestBlock)
}

// Close releases the range for other runs.
func (b *AddressBlock) Close() error {
	return errors.Wrap(b.lock.Close(), "giving back the address range")
}

func (b *AddressBlock) address(thirdOctet, fourthOctet, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", b.number, thirdOctet, fourthOctet, port)
}
