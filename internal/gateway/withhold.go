package gateway

import (
	"context"
	"strconv"
	"sync"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/backend"
	"peridotwinch.example/peridotwinch/internal/placement"
	"peridotwinch.example/peridotwinch/internal/quarantine"
)

// lossConfirmDelay is the time from the end of a connection to the check whether the server still
// accepts connections: a process that ends closes its listener and its connections one by one.
const lossConfirmDelay = 20 * time.Millisecond

// lossRecorder records which requests waited for an answer when a server ended. It is safe for
// concurrent use.
type lossRecorder struct {
	store  *quarantine.Store
	client *backend.Client

	mu sync.Mutex
	// unconfirmed holds the losses by the server's incarnation until it is known whether the
	// server has ended or has closed only some connections.
	unconfirmed map[uint64][]quarantine.Loss
}

func newLossRecorder(store *quarantine.Store, client *backend.Client) *lossRecorder {
	return &lossRecorder{store: store, client: client, unconfirmed: make(map[uint64][]quarantine.Loss)}
}

// record records a loss once the server refuses a new connection.
func (r *lossRecorder) record(lease *lease, loss quarantine.Loss) {
	r.mu.Lock()
	defer r.mu.Unlock()
	losses, checking := r.unconfirmed[loss.Server]
	r.unconfirmed[loss.Server] = append(losses, loss)
	if !checking {
		time.AfterFunc(lossConfirmDelay, func() { r.confirm(lease, loss.Server) })
	}
}

func (r *lossRecorder) confirm(lease *lease, server uint64) {
	err := r.client.Probe(context.Background(), lease.address)
	r.mu.Lock()
	losses := r.unconfirmed[server]
	delete(r.unconfirmed, server)
	r.mu.Unlock()
	if err == nil {
		return
	}
	lease.pool.recordConnectFailure(lease.Server)
	for _, loss := range losses {
		r.store.RecordLoss(loss, time.Now())
	}
}

// promptPartsAtRisk returns the IDs of the prompt's parts that can be at fault if a server ends.
func promptPartsAtRisk(parts []placement.PromptPart) []uint64 {
	ids := make([]uint64, 0, len(parts))
	for _, part := range parts {
		ids = append(ids, part.ID)
	}
	return quarantine.Prompt(ids)
}

// checkPrompt returns CodePromptWithheld if a part of the prompt is in quarantine.
func (c *call) checkPrompt() error {
	if len(c.prompt) == 0 {
		return nil
	}
	verdict, until, withheld := c.gateway.losses.store.Withholds(c.poolName, c.prompt, time.Now())
	if !withheld {
		return nil
	}
	c.gateway.metrics.promptsWithheld.Inc()
	c.withheldUntil = until
	return api.Errorf(api.CodePromptWithheld, "%d servers ended when they began to answer prompts with part %s",
		verdict.Servers, strconv.FormatUint(verdict.Part.ID, 16))
}

// recordAnswer records that a server has begun to answer the prompt.
func (c *call) recordAnswer() {
	if len(c.prompt) > 0 {
		c.gateway.losses.store.RecordAnswer(c.poolName, c.prompt, time.Now())
	}
}

// recordLoss records that a send failed before the server began to answer, and reports whether
// the server closed the connection.
func (c *call) recordLoss(lease *lease, err error) bool {
	if c.ctx.Err() != nil || !backend.IsClosedByServer(err) {
		return false
	}
	c.lostServers++
	if len(c.prompt) > 0 {
		c.gateway.losses.record(lease, quarantine.Loss{
			Server: lease.hash, Pool: c.poolName, Parts: c.prompt, SentAt: lease.sentAt, LostAt: time.Now(),
		})
	}
	return true
}

// mayRetryAfterLoss reports whether a request may be sent to another server after one closed the
// connection before it began to answer. A prompt that may be the cause is not sent again, and no
// prompt is sent to a third server.
func (c *call) mayRetryAfterLoss() bool {
	return len(c.prompt) == 0 || c.lostServers < 2 && !c.gateway.losses.store.IsSuspected(c.poolName, c.prompt, c.lastServer)
}
