package fleet

import (
	"fmt"
	"net"

	"github.com/pkg/errors"
)

// Ports of the programs; each host has an address of its own.
const (
	portLock     = 6999
	portPlatform = 7000
	portCallers  = 8080
	portAdmin    = 8081
	portPeer     = 8082
	portUpstream = 9000
	portSteering = 9900
	// portControllerAdmin is on the entry host's address.
	portControllerAdmin = 8091
)

// Third parts of the addresses in a block.
const (
	netPlatform      = 0
	netDataCentre    = 1   // and up, one for each data centre
	netPlatformRelay = 40  // and up, one for each data centre
	netCallers       = 60  // and up, one for each data centre
	netPeers         = 80  // and up, one for each data centre
	netRelay         = 100 // and up, ten for each viewing data centre
)

// Fourth parts of the addresses in a data centre.
const (
	firstHost   = 10
	engineHost  = 100
	serviceHost = 200
	// steeringEngines and steeringServices are in the platform's net, one for
	// each data centre.
	steeringEngines  = 10
	steeringServices = 20
)

const (
	lowestBlock  = 16
	highestBlock = 250
	relayStride  = 10
)

// AddressBlock is a range of loopback addresses that one run has for itself.
type AddressBlock struct {
	number int
	lock   net.Listener
}

// NewAddressBlock takes the first range that no other run holds.
func NewAddressBlock() (*AddressBlock, error) {
	for number := lowestBlock; number <= highestBlock; number++ {
		lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", number, portLock))
		if err == nil {
			return &AddressBlock{number: number, lock: lock}, nil
		}
	}
	return nil, errors.Errorf("no range of addresses from 127.%d to 127.%d is free", lowestBlock, highestBlock)
}

// Close gives the range back.
func (b *AddressBlock) Close() error {
	return errors.Wrap(b.lock.Close(), "giving back the address range")
}

func (b *AddressBlock) address(third, fourth, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", b.number, third, fourth, port)
}
