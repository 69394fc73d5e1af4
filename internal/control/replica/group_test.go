package replica

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/settings"
)

const (
	// ackTimeout is the time within which a change must be acknowledged.
	ackTimeout = 4 * time.Second
	// formTimeout limits the formation of a group.
	formTimeout = 30 * time.Second
	// inactivityDuration is several times the election timeout of a test group.
	inactivityDuration = 500 * time.Millisecond
	// largeCommandBytes is the size of a command a few of which make the log too large.
	largeCommandBytes = 5000
)

// counter is a state machine that counts its commands.
type counter struct {
	mu    sync.Mutex
	count uint64
}

func (c *counter) Apply([]byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	return binary.BigEndian.AppendUint64(nil, c.count)
}

func (c *counter) current() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

func (c *counter) Snapshot() ([]byte, error) {
	return binary.BigEndian.AppendUint64(nil, c.current()), nil
}

func (c *counter) Restore(snapshot []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count = binary.BigEndian.Uint64(snapshot)
	return nil
}

// member is a replica of a test group with its files.
type member struct {
	*Replica
	g        *WithT
	dir      string
	settings *settings.Settings
	machine  *counter
	// ended receives the error of Run.
	ended chan error
}

// newPeers returns the settings of the instances of a group, and their listeners.
func newPeers(t *testing.T, size int) (peers []settings.Peer, listeners []net.Listener) {
	for i := range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		listeners = append(listeners, listener)
		peers = append(peers, settings.Peer{
			Instance: fmt.Sprint("control-", i+1), Address: listener.Addr().String(), Roles: []settings.Role{settings.RoleControl},
		})
	}
	return peers, listeners
}

// startGroup forms a group of replicas on loopback and returns them, the leader first.
func startGroup(t *testing.T, size int) (members []*member) {
	peers, listeners := newPeers(t, size)
	for i, listener := range listeners {
		m := newMember(t, peers, i)
		m.start(t, listener)
		members = append(members, m)
	}
	for _, m := range members {
		m.g.Eventually(m.CheckReady, formTimeout).Should(Succeed())
	}
	for i, m := range members {
		if m.Status().Leader == m.Status().ID {
			members[0], members[i] = members[i], members[0]
		}
	}
	return members
}

func newMember(t *testing.T, peers []settings.Peer, i int) *member {
	m := &member{g: NewWithT(t), dir: t.TempDir(), machine: &counter{}, ended: make(chan error, 1)}
	m.settings = &settings.Settings{
		Instance: peers[i].Instance, DataDir: m.dir, Peers: peers, Timeouts: settings.Timeouts{HeartbeatMS: 100},
	}
	return m
}

// start loads the replica and runs it until the test ends.
func (m *member) start(t *testing.T, listener net.Listener) {
	var err error
	m.Replica, err = New(m.settings, m.machine, zerolog.Nop())
	m.g.Expect(err).NotTo(HaveOccurred())
	server := rpc.NewServer()
	m.g.Expect(m.Register(server.Mux())).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(ctx, listener) })
	running.Go(func() { m.ended <- m.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
}

// refuseFile makes each WriteFile of the named file fail, as on a full disk. It returns a function
// that ends this.
func (m *member) refuseFile(name string) (accept func()) {
	obstacle := filepath.Join(m.dir, "control", name+".tmp")
	m.g.Expect(os.MkdirAll(filepath.Join(obstacle, "obstacle"), 0o755)).To(Succeed())
	return func() { m.g.Expect(os.RemoveAll(obstacle)).To(Succeed()) }
}

// block stops the event loop, as a disk that refuses every append does, until resume is called or the
// test has failed.
func (m *member) block(t *testing.T) (resume func()) {
	blocked := make(chan struct{})
	m.enqueue(context.Background(), func() { <-blocked })
	resume = sync.OnceFunc(func() { close(blocked) })
	t.Cleanup(resume)
	return resume
}

// propose commits a command of the given size within ackTimeout and returns the number of commands
// that are committed.
func (m *member) propose(size int) (count uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), ackTimeout)
	defer cancel()
	outcome, err := m.Propose(ctx, make([]byte, size))
	m.g.ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return binary.BigEndian.Uint64(outcome)
}

// expectCount waits up to ackTimeout until the replica has applied a number of commands.
func (m *member) expectCount(count uint64) {
	m.g.EventuallyWithOffset(1, m.machine.current, ackTimeout).Should(BeNumerically(">=", count))
}

// proposeUntilLogIsTooLarge commits more than one snapshot interval of large commands.
func (m *member) proposeUntilLogIsTooLarge() {
	for range 2 * (minCompactLogBytes + retainedBytes) / largeCommandBytes {
		m.propose(largeCommandBytes)
	}
}
