package testcluster

import (
	"fmt"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Ports lie below the range that the kernel gives to outgoing connections.
const (
	firstPort = 10000
	lastPort  = 30000
)

// ports hands out loopback ports. A port is reserved for the life of this
// process by a listener on a second loopback address, so that test processes
// that run side by side never share one.
var ports = struct {
	sync.Mutex
	next int
	held []net.Listener
}{next: firstPort}

// Address returns a free loopback address that no other test process gets.
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
		ports.held = append(ports.held, reservation)
		ports.next++
		return address, nil
	}
	return "", errors.New("no loopback port is free")
}

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}
