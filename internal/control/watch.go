package control

import (
	"encoding/json"
	"net/http"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/httpx"
)

const (
	// maxPendingChanges limits the changes whose status a watch tracks.
	maxPendingChanges = 1024
	// reportBatchDelay batches the reports of routers before a watch evaluates the status.
	reportBatchDelay = 10 * time.Millisecond
)

// operatorWatch is an open watch of an operator.
type operatorWatch struct {
	control *Control
	kind    api.Kind
	ref     api.Ref
	// revision is the revision up to which the changes have been sent.
	revision uint64
	out      *json.Encoder
	flusher  http.Flusher
	// pending holds the sent changes that are not in force yet.
	pending []pendingChange
}

// pendingChange is a change with the phase that was sent last.
type pendingChange struct {
	resource *api.Resource
	phase    api.Phase
}

// watch streams changes, changes of their phase, and heartbeats as JSON lines.
func (c *Control) watch(w http.ResponseWriter, r *http.Request, ref api.Ref) {
	kind := api.Kind(r.PathValue("kind"))
	err := api.CheckKind(kind)
	if err == nil {
		err = c.readBarrier(r.Context())
	}
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	revision, err := parseRevision(r, c.store.Revision())
	if err == nil {
		_, _, err = c.changesAbove(revision)
	}
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	flusher, ok := w.(http.Flusher)
	if !ok {
		httpx.WriteError(w, api.Errorf(api.CodeInternal, "the connection does not support streaming"))
		return
	}
	w.Header().Set("Content-Type", "application/jsonl")
	watch := &operatorWatch{
		control: c, kind: kind, ref: ref, revision: revision,
		out: json.NewEncoder(w), flusher: flusher,
	}
	watch.trackEarlierChanges()
	watch.run(r)
}

// trackEarlierChanges tracks the status of recent changes up to the watch's revision, so that
// a watch that moved here from another instance still reports their status.
func (o *operatorWatch) trackEarlierChanges() {
	changes, _ := o.control.store.RetainedChanges()
	earliest := time.Now().Add(-2 * inForceTimeout)
	for _, change := range changes {
		if change.Revision <= o.revision && change.Time.After(earliest) && o.matches(change) {
			o.trackStatus(change)
		}
	}
}

func (o *operatorWatch) trackStatus(change *api.Change) {
	if len(o.pending) < maxPendingChanges {
		o.pending = append(o.pending, pendingChange{resource: change.After, phase: api.PhaseAccepted})
	}
}

func (o *operatorWatch) run(r *http.Request) {
	changed, cancel := o.control.store.Subscribe()
	defer cancel()
	leaseChanged, cancelLeases := o.control.leases.subscribe()
	defer cancelLeases()
	ticker := time.NewTicker(o.control.settings.Timeouts.Heartbeat())
	defer ticker.Stop()
	for {
		if err := o.sendChanges(); err != nil {
			o.sendError(err)
			return
		}
		if o.sendStatus() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-o.control.closing.Done():
			o.sendError(api.Errorf(api.CodeDraining, "the control instance is shutting down"))
			return
		case <-changed:
		case <-leaseChanged:
			time.Sleep(reportBatchDelay)
		case <-ticker.C:
			if o.send(&api.Event{Type: api.EventHeartbeat, Revision: o.revision}) != nil {
				return
			}
		}
	}
}

// sendChanges sends all changes above the watch's revision.
func (o *operatorWatch) sendChanges() error {
	for {
		if err := o.sendNextChanges(); err != nil {
			return err
		}
		if o.revision >= o.control.store.Revision() {
			return nil
		}
	}
}

// sendNextChanges sends the next changes above the watch's revision. It returns CodeNoQuorum,
// which ends the watch, if the replica has no active leader; the operator's client then
// watches another replica.
func (o *operatorWatch) sendNextChanges() error {
	if !o.control.replica.Status().HasActiveLeader {
		return noLeaderError()
	}
	changes, upTo, err := o.control.changesAbove(o.revision)
	if err != nil {
		return err
	}
	for _, change := range changes {
		o.revision = change.Revision
		if !o.matches(change) {
			continue
		}
		if err := o.send(&api.Event{Type: api.EventChange, Revision: change.Revision, Resource: change.After}); err != nil {
			return err
		}
		o.trackStatus(change)
	}
	o.revision = max(o.revision, upTo)
	return nil
}

func (o *operatorWatch) matches(change *api.Change) bool {
	if change.After.Kind != o.kind {
		return false
	}
	if o.ref == "" || change.After.HasName(o.ref) {
		return true
	}
	return change.Before != nil && change.Before.HasName(o.ref)
}

// sendStatus sends the status of the pending changes whose phase has changed, and stops
// tracking those in force.
func (o *operatorWatch) sendStatus() error {
	now := time.Now()
	remaining := o.pending[:0]
	for _, pending := range o.pending {
		status := o.control.status(now, pending.resource.ResourceVersion)
		if status.Phase != pending.phase {
			pending.phase = status.Phase
			event := &api.Event{
				Type: api.EventStatus, Revision: o.revision, Resource: withStatus(pending.resource, status),
			}
			if err := o.send(event); err != nil {
				return err
			}
		}
		if pending.phase != api.PhaseInForce {
			remaining = append(remaining, pending)
		}
	}
	o.pending = remaining
	return nil
}

func (o *operatorWatch) send(event *api.Event) error {
	if err := o.out.Encode(event); err != nil {
		return err
	}
	o.flusher.Flush()
	return nil
}

func (o *operatorWatch) sendError(err error) {
	_ = o.send(&api.Event{Type: api.EventError, Revision: o.revision, Error: api.AsError(err)})
}
