// Package quorum claims keys at a majority of a group's replicas.
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

// Limits of the calls to a replica.
const (
	// callTimeout bounds a call; the connection is replaced after it.
	callTimeout = time.Second
	// maxCalls bounds the calls to a replica that run at the same time.
	maxCalls = 2
	// maxBatch bounds the operations of a call.
	maxBatch = 256
)

// operation is an operation that waits for its reply.
type operation struct {
	message *ledgerpb.Operation
	done    chan operationResult
}

type operationResult struct {
	reply ledger.Reply
	err   error
}

// replicaClient sends the operations of concurrent attempts to one replica in
// few calls.
type replicaClient struct {
	group  ledger.GroupID
	client *rpc.Client

	mu      sync.Mutex
	waiting []*operation
	calls   int
}

func newReplicaClient(group ledger.GroupID, address string) *replicaClient {
	return &replicaClient{group: group, client: rpc.NewClient(address, rpc.PurposeLedger)}
}

// do sends an operation and waits for its reply or the end of ctx.
func (r *replicaClient) do(ctx context.Context, message *ledgerpb.Operation) (ledger.Reply, error) {
	own := &operation{message: message, done: make(chan operationResult, 1)}
	r.enqueue(own)
	select {
	case result := <-own.done:
		return result.reply, result.err
	case <-ctx.Done():
		return ledger.Reply{}, ctx.Err()
	}
}

func (r *replicaClient) enqueue(own *operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting = append(r.waiting, own)
	if r.calls < maxCalls {
		r.calls++
		go r.send()
	}
}

// send makes calls until no operation waits.
func (r *replicaClient) send() {
	for {
		batch := r.next()
		if batch == nil {
			return
		}
		results, err := r.call(batch)
		for i, one := range batch {
			if err != nil {
				one.done <- operationResult{err: err}
				continue
			}
			reply, err := wire.ToReply(results[i])
			one.done <- operationResult{reply, err}
		}
	}
}

func (r *replicaClient) next() []*operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.waiting) == 0 {
		r.calls--
		return nil
	}
	count := min(len(r.waiting), maxBatch)
	batch := r.waiting[:count:count]
	r.waiting = r.waiting[count:]
	return batch
}

func (r *replicaClient) call(batch []*operation) ([]*ledgerpb.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request := &ledgerpb.OperateRequest{Group: string(r.group)}
	for _, one := range batch {
		request.Operations = append(request.Operations, one.message)
	}
	var results []*ledgerpb.Result
	err := r.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		out, err := ledgerpb.NewDRPCLedgerClient(conn).Operate(ctx, request)
		results = out.GetResults()
		return err
	})
	if err == nil && len(results) != len(batch) {
		err = errors.Errorf("%d results for %d operations", len(results), len(batch))
	}
	return results, err
}

// meta returns the replica's state besides the records.
func (r *replicaClient) meta(ctx context.Context) (ledger.Meta, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	meta := ledger.Meta{}
	err := r.client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		out, err := ledgerpb.NewDRPCLedgerClient(conn).GetStatus(ctx, &ledgerpb.StatusRequest{Group: string(r.group)})
		meta = wire.ToMeta(out.GetMeta())
		return err
	})
	return meta, err
}
