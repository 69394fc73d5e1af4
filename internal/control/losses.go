package control

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/durable"
	"peridotwinch.example/peridotwinch/internal/httpx"
	"peridotwinch.example/peridotwinch/internal/quarantine"
)

// lossSaveInterval is the minimum time between two writes of the losses.
const lossSaveInterval = 500 * time.Millisecond

// lossArchive keeps the losses on disk while a prompt part is in quarantine, so that they
// outlast a restart of all processes. Its file is a copy of what replicas and routers have in
// memory: a failed write delays nothing, and a damaged file is ignored.
type lossArchive struct {
	log     zerolog.Logger
	path    string
	store   *quarantine.Store
	changed chan struct{}

	mu sync.Mutex
	// saved is a hash of the losses in the file; 0 if there are none.
	saved uint64
	// released has the parts whose release is not durable yet.
	released map[quarantine.Part]bool
}

// newLossArchive loads the losses of a file into the store.
func newLossArchive(path string, store *quarantine.Store, log zerolog.Logger) *lossArchive {
	a := &lossArchive{log: log, path: path, store: store, changed: make(chan struct{}, 1), released: make(map[quarantine.Part]bool)}
	if err := a.load(time.Now()); err != nil {
		log.Error().Err(err).Str("path", path).Msg("losses of backend servers not loaded")
	}
	store.OnChange(func() {
		select {
		case a.changed <- struct{}{}:
		default:
		}
	})
	return a
}

func (a *lossArchive) load(now time.Time) error {
	raw, err := durable.ReadRecord(a.path)
	if err != nil || raw == nil {
		return err
	}
	var losses []quarantine.Loss
	if err := json.Unmarshal(raw, &losses); err != nil {
		return errors.Wrap(err, "decode losses")
	}
	// The time of day may have been set back since the file was written.
	ahead := time.Duration(0)
	for _, loss := range losses {
		ahead = max(ahead, loss.LostAt.Sub(now))
	}
	for i := range losses {
		losses[i].SentAt = now.Add(losses[i].SentAt.Sub(now) - ahead)
		losses[i].LostAt = now.Add(losses[i].LostAt.Sub(now) - ahead)
	}
	a.store.Merge(losses, now)
	if len(losses) > 0 {
		a.saved = xxhash.Sum64(raw)
	}
	return nil
}

// run saves changed losses until ctx ends.
func (a *lossArchive) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.changed:
		}
		if err := a.save(); err != nil {
			a.log.Warn().Err(err).Str("path", a.path).Msg("losses of backend servers not saved")
		}
		if !actor.Sleep(ctx, lossSaveInterval) {
			return nil
		}
	}
}

// release releases a part from quarantine and makes that durable. It reports whether the part was
// in quarantine; after an error the call may be repeated.
func (a *lossArchive) release(part quarantine.Part, now time.Time) (found bool, err error) {
	found = a.store.Release(part, now)
	a.mu.Lock()
	if found {
		a.released[part] = true
	}
	found = a.released[part]
	a.mu.Unlock()
	if !found {
		return false, nil
	}
	if err := a.save(); err != nil {
		return true, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.released, part)
	return true, nil
}

// save writes the losses if a part is in quarantine, or if the file still has some.
func (a *lossArchive) save() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	losses := []quarantine.Loss{}
	if len(a.store.Verdicts()) > 0 {
		losses = a.store.Since(0)
	}
	raw, err := json.Marshal(losses)
	if err != nil {
		return errors.Wrap(err, "encode losses")
	}
	hash := uint64(0)
	if len(losses) > 0 {
		hash = xxhash.Sum64(raw)
	}
	if hash == a.saved {
		return nil
	}
	if err := durable.WriteRecord(a.path, raw); err != nil {
		return err
	}
	a.saved = hash
	return nil
}

// listQuarantine answers with the prompt parts in quarantine.
func (c *Control) listQuarantine(w http.ResponseWriter, _ *http.Request) {
	out := []api.QuarantinedPart{}
	for _, verdict := range c.losses.Verdicts() {
		out = append(out, api.QuarantinedPart{
			Pool: verdict.Part.Pool, Part: strconv.FormatUint(verdict.Part.ID, 16), Servers: verdict.Servers,
			LastLostAt: verdict.LastLostAt.UTC(),
		})
	}
	httpx.WriteJSON(w, http.StatusOK, out)
}

// releasePart releases a prompt part from quarantine on all routers.
func (c *Control) releasePart(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("part"), 16, 64)
	if err != nil {
		httpx.WriteError(w, api.FieldErrorf(api.CodeResourceInvalid, "part", "%q is not a hexadecimal number of up to 16 digits", r.PathValue("part")))
		return
	}
	pool := r.PathValue("pool")
	found, err := c.lossArchive.release(quarantine.Part{Pool: pool, ID: id}, time.Now())
	if err != nil {
		httpx.WriteError(w, api.Errorf(api.CodeNoQuorum, "the release of part %s of pool %q is not stored: %v", r.PathValue("part"), pool, err))
		return
	}
	if !found {
		httpx.WriteError(w, api.FieldErrorf(api.CodeResourceNotFound, "part", "part %s of pool %q is not in quarantine", r.PathValue("part"), pool))
		return
	}
	c.log.Info().Str("pool", pool).Str("part", r.PathValue("part")).Str("operator", r.RemoteAddr).Msg("operator released a prompt part from quarantine")
	httpx.WriteJSON(w, http.StatusOK, struct{}{})
}
