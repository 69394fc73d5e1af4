package testcluster

import (
	"fmt"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// The ports are below the kernel's range of ephemeral ports, which outgoing connections use.
const (
	firstPort = 10000
	lastPort  = 30000
)

// ports allocates loopback ports. Each port is reserved for the lifetime of this process
// by a listener on a second loopback address, so that concurrent test processes never
// share one.
var ports = struct {
	sync.Mutex
	next         int
	reservations []net.Listener
}{next: firstPort}

// Address returns a free loopback address that is not allocated to another test process.
// It returns an error if no port of the range is free.
func Address() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	for ; ports.next < lastPort; ports.next++ {
		reservation, err := net.Listen("tcp", fmt.Sprintf("127.0.0.2:%d", ports.next))
		if err != nil {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", ports.next)
		if !isFree(address) {
			_ = reservation.Close()
			continue
		}
		ports.reservations = append(ports.reservations, reservation)
		ports.next++
		return address, nil
	}
	return "", errors.New("no free loopback port is left in the test range")
}

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}
