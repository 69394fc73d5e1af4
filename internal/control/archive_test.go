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

// putMany makes changes that the store alone does not keep.
func putMany(s *Store) uint64 {
	const changes = maxRetainedChanges + archiveBlockChanges + 10
	for i := int(s.Revision()); i < changes; i++ {
		apply(s, putPool(fmt.Sprint(i), fmt.Sprint("p", i), 0, chatPool))
	}
	return changes
}

// fillAsItGrows archives while the store grows, as the running archiver does.
func fillAsItGrows(c *Control) uint64 {
	for i := range maxRetainedChanges {
		apply(c.store, putPool(fmt.Sprint(i), fmt.Sprint("p", i), 0, chatPool))
	}
	c.archiver.fill(context.Background())
	return putMany(c.store)
}

func TestAuditTrailGoesBackBeyondTheStore(t *testing.T) {
	g := NewWithT(t)
	c := newControl(t, t.TempDir())
	client := serve(t, c)
	last := fillAsItGrows(c)
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

func TestAReplicaThatJoinedFetchesTheTrail(t *testing.T) {
	g := NewWithT(t)
	old := newControl(t, t.TempDir())
	last := fillAsItGrows(old)
	old.archiver.fill(context.Background())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := rpc.NewServer()
	g.Expect(configpb.DRPCRegisterConfig(server.Mux(), old)).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = server.Serve(ctx, listener) }()

	joined := restored(g, old.store)
	s := &settings.Settings{Instance: "control-2", Peers: []settings.Peer{
		{Instance: "control-0", Address: "127.0.0.1:1", Roles: []settings.Role{settings.RoleControl}},
		{Instance: "control-1", Address: listener.Addr().String(), Roles: []settings.Role{settings.RoleControl}},
	}}
	a := &archive{dir: t.TempDir()}
	newArchiver(s, joined, a, zerolog.Nop()).fill(ctx)
	for block := range blockOf(last) {
		mine, err := a.read(block)
		g.Expect(err).NotTo(HaveOccurred())
		others, err := old.archive.read(block)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(mine).To(Equal(others))
	}
}

func TestADamagedBlockIsNamed(t *testing.T) {
	g := NewWithT(t)
	c := newControl(t, t.TempDir())
	fillAsItGrows(c)
	path := c.archive.path(0)
	raw, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	raw[len(raw)/2] ^= 1
	g.Expect(os.WriteFile(path, raw, 0o600)).To(Succeed())
	_, _, err = c.changesAbove(0)
	g.Expect(api.AsError(err).Code).To(Equal(api.CodeDataDamaged))
	g.Expect(c.archive.save(0, nil)).NotTo(Succeed())
}
