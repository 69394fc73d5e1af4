// Package quorum is the routers' client of the ledger. It claims, releases and
// completes idempotency keys at a majority of the replicas of a group, so that a
// request with a key runs at most once.
package quorum

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/ledger/wire"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/ledgerpb"
)

// Limits of the RPCs to a replica.
const (
	// callTimeout bounds an RPC. The connection is replaced after a timeout.
	callTimeout = time.Second
	// maxConcurrentCalls bounds the concurrent RPCs to a replica.
	maxConcurrentCalls = 2
	// maxBatchOperations bounds the operations in an RPC.
	maxBatchOperations = 256
)

// pendingOperation is an operation without a reply yet.
type pendingOperation struct {
	message *ledgerpb.Operation
	done    chan operationResult
}

type operationResult struct {
	reply ledger.Reply
	err   error
}

// replicaClient sends operations to one replica. It batches the operations of
// concurrent attempts into few RPCs.
type replicaClient struct {
	group  ledger.GroupID
	client *rpc.Client

	mu          sync.Mutex
	queue       []*pendingOperation
	activeCalls int
}

func newReplicaClient(group ledger.GroupID, address string) *replicaClient {
	return &replicaClient{group: group, client: rpc.NewClient(address, rpc.PurposeLedger)}
}

// do sends an operation and returns its reply, or an error if the RPC fails or
// ctx ends. After ctx ends the replica may still apply the operation.
func (r *replicaClient) do(ctx context.Context, message *ledgerpb.Operation) (ledger.Reply, error) {
	op := &pendingOperation{message: message, done: make(chan operationResult, 1)}
	r.enqueue(op)
	select {
	case result := <-op.done:
		return result.reply, result.err
	case <-ctx.Done():
		return ledger.Reply{}, ctx.Err()
	}
}

func (r *replicaClient) enqueue(op *pendingOperation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue = append(r.queue, op)
	if r.activeCalls < maxConcurrentCalls {
		r.activeCalls++
		go r.sendQueued()
	}
}

// sendQueued sends batches until the queue is empty.
func (r *replicaClient) sendQueued() {
	for {
		batch := r.nextBatch()
		if batch == nil {
			return
		}
		results, err := r.call(batch)
		for i, op := range batch {
			if err != nil {
				op.done <- operationResult{err: err}
				continue
			}
			reply, err := wire.ToReply(results[i])
			op.done <- operationResult{reply, err}
		}
	}
}

// nextBatch removes the next batch from the queue. It returns nil if the queue is
// empty, and counts the calling sender as ended.
func (r *replicaClient) nextBatch() []*pendingOperation {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.queue) == 0 {
		r.activeCalls--
		return nil
	}
	count := min(len(r.queue), maxBatchOperations)
	batch := r.queue[:count:count]
	r.queue = r.queue[count:]
	return batch
}

func (r *replicaClient) call(batch []*pendingOperation) ([]*ledgerpb.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request := &ledgerpb.OperateRequest{Group: string(r.group)}
	for _, op := range batch {
		request.Operations = append(request.Operations, op.message)
	}
	var results []*ledgerpb.Result
	err := r.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		response, err := ledgerpb.NewDRPCLedgerClient(conn).Operate(ctx, request)
		results = response.GetResults()
		return err
	})
	if err == nil && len(results) != len(batch) {
		err = errors.Errorf("the ledger replica returned %d results for %d operations", len(results), len(batch))
	}
	return results, err
}

// meta returns the replica's state without its records.
func (r *replicaClient) meta(ctx context.Context) (ledger.Meta, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	meta := ledger.Meta{}
	err := r.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		response, err := ledgerpb.NewDRPCLedgerClient(conn).GetStatus(ctx, &ledgerpb.StatusRequest{Group: string(r.group)})
		meta = wire.ToMeta(response.GetMeta())
		return err
	})
	return meta, err
}
