package gateway

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

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
	log    zerolog.Logger
	store  *quarantine.Store
	client *backend.Client

	mu sync.Mutex
	// unconfirmed holds the losses by the server's incarnation until it is known whether the
	// server has ended or has closed only some connections.
	unconfirmed map[uint64][]unconfirmedLoss
}

type unconfirmedLoss struct {
	quarantine.Loss
	requestID string
}

func newLossRecorder(store *quarantine.Store, client *backend.Client, log zerolog.Logger) *lossRecorder {
	return &lossRecorder{log: log, store: store, client: client, unconfirmed: make(map[uint64][]unconfirmedLoss)}
}

// record records a loss once the server refuses a new connection.
func (r *lossRecorder) record(lease *lease, loss unconfirmedLoss) {
	r.mu.Lock()
	defer r.mu.Unlock()
	losses, checking := r.unconfirmed[loss.Server]
	r.unconfirmed[loss.Server] = append(losses, loss)
	if !checking {
		time.AfterFunc(lossConfirmDelay, func() { r.confirm(lease) })
	}
}

// confirm records the losses of the lease's server if it has ended.
func (r *lossRecorder) confirm(lease *lease) {
	isDown := lease.isServerDown(context.Background(), r.client)
	r.mu.Lock()
	unconfirmed := r.unconfirmed[lease.hash]
	delete(r.unconfirmed, lease.hash)
	r.mu.Unlock()
	if !isDown {
		return
	}
	losses := make([]quarantine.Loss, 0, len(unconfirmed))
	for _, loss := range unconfirmed {
		r.log.Info().Str("server", lease.id).Str("address", lease.address).Str("requestId", loss.requestID).
			Dur("waited", loss.LostAt.Sub(loss.SentAt)).Msg("backend server ended before it answered the prompt")
		losses = append(losses, loss.Loss)
	}
	r.store.Merge(losses, time.Now())
}

// promptPartsAtRisk returns the IDs of the prompt's parts that can be at fault if a server ends.
func promptPartsAtRisk(parts []placement.PromptPart) []uint64 {
	ids := make([]uint64, 0, len(parts))
	for _, part := range parts {
		ids = append(ids, part.ID)
	}
	return quarantine.PartsAtRisk(ids)
}

// checkPrompt returns CodePromptWithheld if a part of the prompt is in quarantine.
func (c *call) checkPrompt() error {
	if len(c.prompt) == 0 || c.isTrial {
		return nil
	}
	decision := c.gateway.losses.store.Decide(c.poolName, c.prompt, time.Now())
	if c.isTrial = decision.Trial; c.isTrial {
		c.log(zerolog.InfoLevel).Str("parts", promptPartIDs(c.in.PromptParts)).Msg("prompt part in quarantine is tried")
	}
	if !decision.Withheld {
		return nil
	}
	c.gateway.metrics.promptsWithheld.Inc()
	c.withheldUntil = decision.Until
	return api.Errorf(api.CodePromptWithheld, "%d servers ended when they began to answer prompts with part %s",
		decision.Verdict.Servers, strconv.FormatUint(decision.Verdict.Part.ID, 16))
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
		c.gateway.losses.record(lease, unconfirmedLoss{requestID: c.in.ID, Loss: quarantine.Loss{
			Server: lease.hash, Request: xxhash.Sum64String(c.in.ID), Pool: c.poolName, Parts: c.prompt, SentAt: lease.sentAt, LostAt: time.Now(),
		}})
	}
	return true
}

// mayRetryAfterLoss reports whether a request may be sent to another server after one closed the
// connection before it began to answer. A prompt that may be the cause is not sent again, and no
// prompt is sent to a third server.
func (c *call) mayRetryAfterLoss() bool {
	return len(c.prompt) == 0 || c.lostServers < 2 && !c.gateway.losses.store.IsSuspected(c.poolName, c.prompt, c.lastServer)
}
