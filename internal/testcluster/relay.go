package testcluster

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Mode is how a relay handles the bytes of one direction.
type Mode int

// Modes of a relay.
const (
	// Forward forwards bytes.
	Forward Mode = iota
	// Blackhole keeps connections open, and reads and drops their bytes.
	Blackhole
	// Refuse closes open connections and new ones.
	Refuse
)

// pollInterval is the interval at which a relay checks for a change of its mode.
const pollInterval = 5 * time.Millisecond

// Relay is a TCP relay that can close connections, and drop or delay their bytes. It is safe
// for concurrent use.
type Relay struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// outbound is the mode towards the target; inbound is the mode from it.
	outbound Mode
	inbound  Mode
	delay    time.Duration
	// loss is the share of reads whose bytes are delayed by retransmissionDelay.
	loss   float64
	random *rand.Rand
	conns  map[net.Conn]struct{}
}

// NewRelay returns a running relay from a free loopback address to target.
func NewRelay(target string) (*Relay, error) {
	listener, err := listenOnFreePort()
	if err != nil {
		return nil, err
	}
	return startRelay(listener, target), nil
}

// NewRelayAt returns a running relay from the given address to target.
func NewRelayAt(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen on the relay address")
	}
	return startRelay(listener, target), nil
}

func startRelay(listener net.Listener, target string) *Relay {
	r := &Relay{listener: listener, target: target, conns: make(map[net.Conn]struct{}), random: rand.New(rand.NewPCG(1, 0))}
	go r.accept()
	return r
}

// maxListenAttempts bounds the ports that are tried: another program may bind a port
// between the check that it is free and its use.
const maxListenAttempts = 10

func listenOnFreePort() (net.Listener, error) {
	var lastErr error
	for range maxListenAttempts {
		address, err := Address()
		if err != nil {
			return nil, err
		}
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Set sets the modes towards the target and from it. Refuse in either direction closes
// all connections.
func (r *Relay) Set(outbound, inbound Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outbound, r.inbound = outbound, inbound
	if outbound == Refuse || inbound == Refuse {
		r.closeConnections()
	}
}

// SetDelay sets the delay of the bytes in each direction.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// retransmissionDelay is the time after which TCP retransmits a lost segment.
const retransmissionDelay = 200 * time.Millisecond

// SetLoss sets the share, from 0 to 1, of lost segments. The bytes of a lost segment, and
// all bytes after them, are delayed by retransmissionDelay.
func (r *Relay) SetLoss(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loss = share
}

// deliveryTime returns the time at which bytes read now are to be forwarded.
func (r *Relay) deliveryTime() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Now().Add(r.delay)
	if r.loss > 0 && r.random.Float64() < r.loss {
		at = at.Add(retransmissionDelay)
	}
	return at
}

// Close closes the listener and all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closeConnections()
}

// closeConnections closes all connections. The caller must hold r.mu.
func (r *Relay) closeConnections() {
	for conn := range r.conns {
		_ = conn.Close()
		delete(r.conns, conn)
	}
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

// serve forwards between an accepted connection and a new one to the target until either
// ends.
func (r *Relay) serve(client net.Conn) {
	if outbound, inbound, _ := r.state(); outbound == Refuse || inbound == Refuse {
		_ = client.Close()
		return
	}
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	r.mu.Lock()
	r.conns[client], r.conns[target] = struct{}{}, struct{}{}
	r.mu.Unlock()
	go r.copy(target, client, func() Mode { outbound, _, _ := r.state(); return outbound })
	r.copy(client, target, func() Mode { _, inbound, _ := r.state(); return inbound })
}

func (r *Relay) state() (outbound, inbound Mode, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outbound, r.inbound, r.delay
}

// chunk holds the bytes of one read and the time at which to forward them.
type chunk struct {
	bytes []byte
	due   time.Time
}

// maxQueuedReads bounds the reads queued in one direction of a connection.
const maxQueuedReads = 4096

// copy queues what it reads from one connection for writing to the other, and closes both
// when the read fails.
func (r *Relay) copy(to, from net.Conn, mode func() Mode) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	chunks := make(chan chunk, maxQueuedReads)
	go r.write(to, chunks, mode)
	defer close(chunks)
	for {
		buffer := make([]byte, 32<<10)
		n, err := from.Read(buffer)
		if n > 0 {
			chunks <- chunk{buffer[:n], r.deliveryTime()}
		}
		if err != nil {
			r.drain(chunks, mode)
			return
		}
	}
}

// drain waits until the queue is empty, the mode is not Blackhole, and the delay has passed
// once more, so that the last chunk is written. A blackholed connection stays open.
func (r *Relay) drain(chunks chan chunk, mode func() Mode) {
	for len(chunks) > 0 || mode() == Blackhole {
		time.Sleep(pollInterval)
	}
	_, _, delay := r.state()
	time.Sleep(delay)
}

// write forwards chunks when they are due. Once it has dropped bytes of a connection, or
// a write has failed, it drops all later bytes too, because a byte stream must not have gaps.
func (r *Relay) write(to net.Conn, chunks <-chan chunk, mode func() Mode) {
	dropping := false
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		dropping = dropping || mode() == Blackhole
		if dropping {
			continue
		}
		if _, err := to.Write(c.bytes); err != nil {
			dropping = true
		}
	}
}
