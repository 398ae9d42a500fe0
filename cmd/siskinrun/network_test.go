package main

import (
	"fmt"
	"net"
	"os"
)

const (
	// networkStep is the distance between the networks that reserveNetwork tries.
	networkStep = 32
	// reservationAddress is the host and port, behind the prefix of a network, that a test run holds while it uses the network.
	reservationAddress = "254:7439"
)

// reservedNetworks keeps the networks of this test run reserved until its process ends.
var reservedNetworks []net.Listener

// reserveNetwork returns the prefix of the loopback addresses of this test run: the one in SISKINRUN_TEST_NETWORK, or else the
// first network from 127.0.third on that no other run on this machine holds. Two runs on one network fail to bind their ports, or
// answer each other's requests.
func reserveNetwork(third int) string {
	if n := os.Getenv("SISKINRUN_TEST_NETWORK"); n != "" {
		return n
	}
	for n := third; n < 256; n += networkStep {
		p := fmt.Sprintf("127.0.%d.", n)
		l, err := net.Listen("tcp", p+reservationAddress)
		if err == nil {
			reservedNetworks = append(reservedNetworks, l)
			return p
		}
	}
	return fmt.Sprintf("127.0.%d.", third)
}
