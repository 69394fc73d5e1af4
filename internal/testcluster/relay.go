package testcluster

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Mode is what a relay does with the bytes of one direction.
type Mode int

// Modes of a relay.
const (
	// Forward passes bytes on.
	Forward Mode = iota
	// Blackhole keeps connections open, accepts bytes and drops them.
	Blackhole
	// Refuse closes connections.
	Refuse
)

// pollEvery is how often a relay looks whether its mode has changed.
const pollEvery = 5 * time.Millisecond

// Relay is a TCP relay that cuts, swallows and delays.
type Relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	out   Mode
	back  Mode
	delay time.Duration
	// loss is the share of reads whose bytes come a retransmission later.
	loss   float64
	random *rand.Rand
	conns  map[net.Conn]struct{}
}

// NewRelay returns a relay that listens on a new address and forwards to target.
func NewRelay(target string) (*Relay, error) {
	listener, err := listenAnywhere()
	if err != nil {
		return nil, err
	}
	return startRelay(listener, target), nil
}

// NewRelayAt returns a relay that listens on the given address and forwards to target.
func NewRelayAt(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for a relay")
	}
	return startRelay(listener, target), nil
}

func startRelay(listener net.Listener, target string) *Relay {
	r := &Relay{listener: listener, target: target, conns: make(map[net.Conn]struct{}), random: rand.New(rand.NewPCG(1, 0))}
	go r.accept()
	return r
}

// listenTries bounds the ports that are tried: another program may take a port
// between the look at it and its use.
const listenTries = 10

func listenAnywhere() (net.Listener, error) {
	var last error
	for range listenTries {
		address, err := Address()
		if err != nil {
			return nil, err
		}
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener, nil
		}
		last = err
	}
	return nil, last
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Set changes what happens to bytes towards the target and back from it.
func (r *Relay) Set(out, back Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out, r.back = out, back
	if out == Refuse || back == Refuse {
		r.closeAll()
	}
}

// SetDelay delays each read's bytes by d in each direction.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// retransmission is the time after which TCP sends a lost segment again.
const retransmission = 200 * time.Millisecond

// SetLoss loses a share of the segments: the bytes, and all behind them, come
// a retransmission later.
func (r *Relay) SetLoss(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loss = share
}

// due returns when bytes that were read now are to be passed on.
func (r *Relay) due() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	due := time.Now().Add(r.delay)
	if r.loss > 0 && r.random.Float64() < r.loss {
		due = due.Add(retransmission)
	}
	return due
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closeAll()
}

func (r *Relay) closeAll() {
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

func (r *Relay) serve(near net.Conn) {
	if out, back, _ := r.state(); out == Refuse || back == Refuse {
		_ = near.Close()
		return
	}
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = near.Close()
		return
	}
	r.mu.Lock()
	r.conns[near], r.conns[far] = struct{}{}, struct{}{}
	r.mu.Unlock()
	go r.copy(far, near, func() Mode { out, _, _ := r.state(); return out })
	r.copy(near, far, func() Mode { _, back, _ := r.state(); return back })
}

func (r *Relay) state() (out, back Mode, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.out, r.back, r.delay
}

// chunk is what one read brought, and when it is due.
type chunk struct {
	bytes []byte
	due   time.Time
}

// relayQueue is how many reads a direction may hold back.
const relayQueue = 4096

func (r *Relay) copy(to, from net.Conn, mode func() Mode) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	chunks := make(chan chunk, relayQueue)
	go r.write(to, chunks, mode)
	defer close(chunks)
	for {
		buffer := make([]byte, 32<<10)
		n, err := from.Read(buffer)
		if n > 0 {
			chunks <- chunk{buffer[:n], r.due()}
		}
		if err != nil {
			r.drain(chunks, mode)
			return
		}
	}
}

// drain waits until the writer has taken everything. A connection that is
// swallowed stays open.
func (r *Relay) drain(chunks chan chunk, mode func() Mode) {
	for len(chunks) > 0 || mode() == Blackhole {
		time.Sleep(pollEvery)
	}
	_, _, delay := r.state()
	time.Sleep(delay)
}

// write passes chunks on. Once a byte of a connection has been dropped, all
// later ones are, because a byte stream cannot lose its middle.
func (r *Relay) write(to net.Conn, chunks <-chan chunk, mode func() Mode) {
	swallowed := false
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		swallowed = swallowed || mode() == Blackhole
		if swallowed {
			continue
		}
		if _, err := to.Write(c.bytes); err != nil {
			swallowed = true
		}
	}
}
