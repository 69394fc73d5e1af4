package control

import (
	"encoding/json"
	"net/http"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/httpx"
)

const (
	// maxPending bounds the changes of a watch whose status is followed.
	maxPending = 1024
	// reportDelay gathers routers' reports before a watch looks at the status.
	reportDelay = 10 * time.Millisecond
)

// operatorWatch is an operator's watch in progress.
type operatorWatch struct {
	control *Control
	kind    api.Kind
	ref     api.Ref
	// revision is the highest one that the operator was told of.
	revision uint64
	out      *json.Encoder
	flusher  http.Flusher
	// pending are the changes that are not in force yet.
	pending []pendingChange
}

// pendingChange is a change with the phase that the operator was told last.
type pendingChange struct {
	resource *api.Resource
	phase    api.Phase
}

// watch streams changes, their coming into force, and heartbeats as JSON lines.
func (c *Control) watch(w http.ResponseWriter, r *http.Request, ref api.Ref) {
	kind := api.Kind(r.PathValue("kind"))
	err := api.CheckKind(kind)
	if err == nil {
		err = c.current(r.Context())
	}
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	revision, err := revisionOf(r, c.store.Revision())
	if err == nil {
		_, _, err = c.changesAbove(revision)
	}
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	flusher, ok := w.(http.Flusher)
	if !ok {
		httpx.WriteError(w, api.Errorf(api.CodeInternal, "the connection cannot stream"))
		return
	}
	w.Header().Set("Content-Type", "application/jsonl")
	watch := &operatorWatch{
		control: c, kind: kind, ref: ref, revision: revision,
		out: json.NewEncoder(w), flusher: flusher,
	}
	watch.followEarlier()
	watch.run(r)
}

// followEarlier follows the status of recent changes that the operator knows
// already: a watch that moved here from another instance still learns of them.
func (o *operatorWatch) followEarlier() {
	changes, _ := o.control.store.KeptChanges()
	recent := time.Now().Add(-2 * inForceDeadline)
	for _, change := range changes {
		if change.Revision <= o.revision && change.Time.After(recent) && o.matches(change) {
			o.follow(change)
		}
	}
}

func (o *operatorWatch) follow(change *api.Change) {
	if len(o.pending) < maxPending {
		o.pending = append(o.pending, pendingChange{resource: change.After, phase: api.PhaseAccepted})
	}
}

func (o *operatorWatch) run(r *http.Request) {
	changed, cancel := o.control.store.Subscribe()
	defer cancel()
	reported, cancelReported := o.control.leases.subscribe()
	defer cancelReported()
	ticker := time.NewTicker(o.control.settings.Timeouts.Heartbeat())
	defer ticker.Stop()
	for {
		if err := o.sendChanges(); err != nil {
			o.fail(err)
			return
		}
		if o.sendStatus() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-o.control.closing.Done():
			o.fail(api.Errorf(api.CodeDraining, "the control instance shuts down"))
			return
		case <-changed:
		case <-reported:
			time.Sleep(reportDelay)
		case <-ticker.C:
			if o.send(&api.Event{Type: api.EventHeartbeat, Revision: o.revision}) != nil {
				return
			}
		}
	}
}

// sendChanges sends all that came above the watch's revision.
func (o *operatorWatch) sendChanges() error {
	for {
		if err := o.sendNext(); err != nil {
			return err
		}
		if o.revision >= o.control.store.Revision() {
			return nil
		}
	}
}

// sendNext sends the next changes. A replica that hears no leader ends the watch
// instead: the operator is to ask another one.
func (o *operatorWatch) sendNext() error {
	if !o.control.replica.Status().Current {
		return api.Errorf(api.CodeNoQuorum, "this control replica is cut off")
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
		o.follow(change)
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

// sendStatus tells of the changes that came into force or failed since.
func (o *operatorWatch) sendStatus() error {
	now := time.Now()
	kept := o.pending[:0]
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
			kept = append(kept, pending)
		}
	}
	o.pending = kept
	return nil
}

func (o *operatorWatch) send(event *api.Event) error {
	if err := o.out.Encode(event); err != nil {
		return err
	}
	o.flusher.Flush()
	return nil
}

func (o *operatorWatch) fail(err error) {
	_ = o.send(&api.Event{Type: api.EventError, Revision: o.revision, Error: api.AsError(err)})
}
