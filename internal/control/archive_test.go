package control

import (
	"context"
	"fmt"
	"net"
	"os"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/configpb"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// putBeyondRetention adds changes until the store has dropped more than one block of them,
// and returns the revision.
func putBeyondRetention(s *Store) uint64 {
	const changes = maxRetainedChanges + archiveBlockChanges + 10
	for i := int(s.Revision()); i < changes; i++ {
		apply(s, putPool(fmt.Sprint(i), fmt.Sprint("p", i), 0, chatPool))
	}
	return changes
}

// archiveDuringPuts runs the archiver once before the store drops changes, as a running
// archiver does, and returns the revision after all changes.
func archiveDuringPuts(c *Control) uint64 {
	for i := range maxRetainedChanges {
		apply(c.store, putPool(fmt.Sprint(i), fmt.Sprint("p", i), 0, chatPool))
	}
	c.archiver.fill(context.Background())
	return putBeyondRetention(c.store)
}

// TestAuditTrailIncludesChangesDroppedByStore guards against gaps in the audit trail and in a
// watch at the transition from the archive to the store.
func TestAuditTrailIncludesChangesDroppedByStore(t *testing.T) {
	g := NewWithT(t)
	c := newControl(t, t.TempDir())
	client := newClient(t, c)
	last := archiveDuringPuts(c)
	c.archiver.fill(context.Background())
	_, _, err := c.store.Changes(0)
	g.Expect(api.AsError(err).Code).To(Equal(api.CodeRevisionGone))

	seen := uint64(0)
	g.Expect(client.Audit(context.Background(), 0, func(part *api.ChangeList) error {
		for _, change := range part.Items {
			seen++
			g.Expect(change.Revision).To(Equal(seen))
			g.Expect(change.After.Names["engine"]).To(Equal(fmt.Sprint("p", seen-1)))
		}
		return nil
	})).To(Succeed())
	g.Expect(seen).To(Equal(last))

	seen = 1
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	_ = client.Watch(ctx, api.KindPools, "", 1, func(event *api.Event) error {
		if event.Type == api.EventChange {
			seen++
			g.Expect(event.Revision).To(Equal(seen))
		}
		if seen == last {
			cancel()
		}
		return nil
	})
	g.Expect(seen).To(Equal(last))
}

// TestJoinedReplicaFetchesArchiveFromPeer guards against a lost audit trail: a replica that
// joins receives a snapshot without the older changes, and one of its peers is unreachable.
func TestJoinedReplicaFetchesArchiveFromPeer(t *testing.T) {
	g := NewWithT(t)
	peer := newControl(t, t.TempDir())
	last := archiveDuringPuts(peer)
	peer.archiver.fill(context.Background())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := rpc.NewServer()
	g.Expect(configpb.DRPCRegisterConfig(server.Mux(), peer)).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = server.Serve(ctx, listener) }()

	joined := restoredFromSnapshot(g, peer.store)
	s := &settings.Settings{Instance: "control-2", Peers: []settings.Peer{
		{Instance: "control-0", Address: "127.0.0.1:1", Roles: []settings.Role{settings.RoleControl}},
		{Instance: "control-1", Address: listener.Addr().String(), Roles: []settings.Role{settings.RoleControl}},
	}}
	a := &archive{dir: t.TempDir()}
	newArchiver(s, joined, a, zerolog.Nop()).fill(ctx)
	for block := range blockOf(last) {
		fetched, err := a.read(block)
		g.Expect(err).NotTo(HaveOccurred())
		original, err := peer.archive.read(block)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(fetched).To(Equal(original))
	}
}

// TestDamagedArchiveBlockIsReported flips a bit in a block. A read must fail with
// CodeDataDamaged instead of returning wrong changes, and save must reject an incomplete block.
func TestDamagedArchiveBlockIsReported(t *testing.T) {
	g := NewWithT(t)
	c := newControl(t, t.TempDir())
	archiveDuringPuts(c)
	path := c.archive.path(0)
	raw, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	raw[len(raw)/2] ^= 1
	g.Expect(os.WriteFile(path, raw, 0o600)).To(Succeed())
	_, _, err = c.changesAbove(0)
	g.Expect(api.AsError(err).Code).To(Equal(api.CodeDataDamaged))
	g.Expect(c.archive.save(0, nil)).NotTo(Succeed())
}
