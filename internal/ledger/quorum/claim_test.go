package quorum

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

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
	recorder := &releaseRecorder{released: make(chan ledger.AttemptID, 16)}
	return recorder, serveReplica(t, recorder)
}

// serveReplica serves a fake replica until the test ends and returns its address.
func serveReplica(t *testing.T, replica ledgerpb.DRPCLedgerServer) string {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := rpc.NewServer()
	g.Expect(ledgerpb.DRPCRegisterLedger(server.Mux(), replica)).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Serve(ctx, listener) }()
	return listener.Addr().String()
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

// contendedReplica is a fake replica that reports the key as held to the first claim, then as
// free, and does not answer the second claim.
type contendedReplica struct {
	ledgerpb.DRPCLedgerUnimplementedServer
	claims atomic.Int32
}

// Operate implements ledgerpb.DRPCLedgerServer.
func (r *contendedReplica) Operate(ctx context.Context, request *ledgerpb.OperateRequest) (*ledgerpb.OperateResponse, error) {
	response := &ledgerpb.OperateResponse{}
	for _, operation := range request.GetOperations() {
		result := &ledgerpb.Result{Status: ledgerpb.Status_FREE}
		if operation.GetKind() == ledgerpb.OperationKind_CLAIM {
			if r.claims.Add(1) > 1 {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			holder := ledger.NewAttemptID()
			result = &ledgerpb.Result{Status: ledgerpb.Status_HELD, Holder: holder[:]}
		}
		response.Results = append(response.Results, result)
	}
	return response, nil
}

// TestClaimThatMetAHolderEndsAsHeld guards against a claim that is reported as unavailable
// because its time ends in a round after the one that met the holder.
func TestClaimThatMetAHolderEndsAsHeld(t *testing.T) {
	g := NewWithT(t)
	replica := &contendedReplica{}
	address := serveReplica(t, replica)
	list := ledger.MemberList{Members: []string{"one"}, Addresses: []string{address}}
	c := &Claimer{
		customerGroups: []*group{newGroup(ledger.FleetGroup, 0, list, nil)},
		granted:        make(map[ledger.AttemptID]ledger.ClaimRequest),
	}
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	decision := c.Claim(ctx, ledger.Key{Customer: "c", Value: "k"}, ledger.NewAttemptID(), ledger.Digest{})
	g.Expect(replica.claims.Load()).To(BeNumerically(">", 1), "the claim has reached its second round")
	g.Expect(decision.Verdict).To(Equal(ledger.VerdictHeld))
}
