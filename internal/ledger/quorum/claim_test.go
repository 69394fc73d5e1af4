package quorum

import (
	"context"
	"net"
	"runtime"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/ledgerpb"
)

// releaseRecorder is a fake replica that records the attempt ID of each operation.
type releaseRecorder struct {
	ledgerpb.DRPCLedgerUnimplementedServer
	released chan ledger.AttemptID
}

// Operate implements ledgerpb.DRPCLedgerServer.
func (r *releaseRecorder) Operate(_ context.Context, request *ledgerpb.OperateRequest) (*ledgerpb.OperateResponse, error) {
	response := &ledgerpb.OperateResponse{}
	for _, operation := range request.GetOperations() {
		r.released <- ledger.AttemptID(operation.GetAttempt())
		response.Results = append(response.Results, &ledgerpb.Result{})
	}
	return response, nil
}

func startReleaseRecorder(t *testing.T) (*releaseRecorder, string) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	recorder := &releaseRecorder{released: make(chan ledger.AttemptID, 16)}
	server := rpc.NewServer()
	g.Expect(ledgerpb.DRPCRegisterLedger(server.Mux(), recorder)).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Serve(ctx, listener) }()
	return recorder, listener.Addr().String()
}

// TestReleaseKeepsAttemptIDOfLostRound guards against a background release that
// carries the attempt ID of the next round and so releases that round's grants. It
// starts the next round before the release of the lost one is sent.
func TestReleaseKeepsAttemptIDOfLostRound(t *testing.T) {
	g := NewWithT(t)
	replica, address := startReleaseRecorder(t)
	lost, next := ledger.NewAttemptID(), ledger.NewAttemptID()
	list := ledger.MemberList{Members: []string{"one"}, Addresses: []string{address}}
	c := &claim{view: newGroup(ledger.FleetGroup, 0, list, nil).currentView(), request: ledger.ClaimRequest{Attempt: lost}}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	c.releaseGrants(context.Background(), ledger.NewAttempt(lost, 1))
	c.request.Attempt = next
	var released ledger.AttemptID
	g.Eventually(replica.released, "60s").Should(Receive(&released))
	g.Expect(released).To(Equal(lost))
}
