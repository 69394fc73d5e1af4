package control

import (
	"net/http"
	"strconv"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/httpx"
	"peridotwinch.example/peridotwinch/internal/jsonx"
)

// maxResourceBytes is the maximum size of a write's body.
const maxResourceBytes = 1 << 20

// Handler returns the HTTP handler of the resource API.
func (c *Control) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /apis/v1/{kind}", c.list)
	mux.HandleFunc("GET /apis/v1/{kind}/{name}", c.get)
	mux.HandleFunc("PUT /apis/v1/{kind}/{name}", c.put)
	mux.HandleFunc("DELETE /apis/v1/{kind}/{name}", c.delete)
	mux.HandleFunc("GET /apis/v1/audit", c.audit)
	mux.HandleFunc("GET /apis/v1/status", c.controlStatus)
	if c.fleetSync != nil {
		c.handleEvacuations(mux)
	} else {
		refuseEvacuations(mux)
	}
	return httpx.CheckText(api.CodeResourceInvalid, mux, api.HeaderRequestID, api.HeaderOperator)
}

func (c *Control) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		c.watch(w, r, "")
		return
	}
	kind := api.Kind(r.PathValue("kind"))
	if err := api.CheckKind(kind); err != nil {
		httpx.WriteError(w, err)
		return
	}
	if err := c.readBarrier(r.Context()); err != nil {
		httpx.WriteError(w, err)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, c.store.List(kind))
}

func (c *Control) get(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		c.watch(w, r, api.Ref(r.PathValue("name")))
		return
	}
	if err := c.readBarrier(r.Context()); err != nil {
		httpx.WriteError(w, err)
		return
	}
	resource, err := c.store.Get(api.Kind(r.PathValue("kind")), api.Ref(r.PathValue("name")))
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, withStatus(resource, c.status(time.Now(), resource.ResourceVersion)))
}

func withStatus(resource *api.Resource, status *api.Status) *api.Resource {
	out := *resource
	out.Status = status
	return &out
}

func (c *Control) put(w http.ResponseWriter, r *http.Request) {
	resource := &api.Resource{}
	if err := jsonx.DecodeKnown(http.MaxBytesReader(w, r.Body, maxResourceBytes), resource); err != nil {
		httpx.WriteError(w, api.TextError(api.CodeResourceInvalid, "", err))
		return
	}
	resource.Kind = api.Kind(r.PathValue("kind"))
	if errs := resource.Validate(c.settings.NameSchemes); len(errs) > 0 {
		httpx.WriteError(w, errs[0])
		return
	}
	command := newCommand(api.VerbPut, r.Header.Get(api.HeaderRequestID), r.Header.Get(api.HeaderOperator))
	command.Kind, command.Ref = resource.Kind, api.Ref(r.PathValue("name"))
	command.Names, command.Spec, command.ResourceVersion = resource.Names, resource.Spec, resource.ResourceVersion
	stored, err := c.write(r.Context(), command)
	c.logChange(command, err)
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, withStatus(stored, &api.Status{Phase: api.PhaseAccepted}))
}

func (c *Control) delete(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.URL.Query().Get("resourceVersion"), 10, 64)
	if err != nil {
		httpx.WriteError(w, api.FieldErrorf(api.CodeResourceInvalid, "resourceVersion", "not a number"))
		return
	}
	command := newCommand(api.VerbDelete, r.Header.Get(api.HeaderRequestID), r.Header.Get(api.HeaderOperator))
	command.Kind, command.Ref = api.Kind(r.PathValue("kind")), api.Ref(r.PathValue("name"))
	command.ResourceVersion = version
	_, err = c.write(r.Context(), command)
	c.logChange(command, err)
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (c *Control) logChange(command *Command, err error) {
	c.log.Info().Err(err).Str("verb", string(command.Verb)).Str("kind", string(command.Kind)).
		Str("name", string(command.Ref)).Str("operator", command.Operator).
		Str("requestId", command.RequestID).Msg("configuration change")
}

// audit returns the next changes above a revision; zero means the oldest retained changes.
// A client requests the following changes with the last revision of the response.
func (c *Control) audit(w http.ResponseWriter, r *http.Request) {
	revision, err := parseRevision(r, 0)
	if err == nil {
		err = c.readBarrier(r.Context())
	}
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	if revision == 0 {
		revision = c.oldestRevision()
	}
	changes, _, err := c.changesAbove(revision)
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, &api.ChangeList{Revision: c.store.Revision(), Items: changes})
}

// parseRevision returns the revision of the query, or defaultRevision if there is none.
func parseRevision(r *http.Request, defaultRevision uint64) (uint64, error) {
	raw := r.URL.Query().Get("revision")
	if raw == "" {
		return defaultRevision, nil
	}
	revision, err := strconv.ParseUint(raw, 10, 64)
	if err != nil {
		return 0, api.FieldErrorf(api.CodeResourceInvalid, "revision", "not a number")
	}
	return revision, nil
}

// controlStatus returns the status of this instance. It works without a majority.
func (c *Control) controlStatus(w http.ResponseWriter, _ *http.Request) {
	httpx.WriteJSON(w, http.StatusOK, c.selfStatus())
}

// AddStatus implements status.Reporter.
func (c *Control) AddStatus(status *api.DaemonStatus) {
	status.Control = c.selfStatus()
	if status.Control.Removed {
		status.Degrade(api.CodeNoQuorum, "control", "the group has replaced this replica")
		return
	}
	if !status.Control.Current {
		status.Degrade(api.CodeNoQuorum, "control", "the replica has no contact with a leader that has a majority")
	}
}

func (c *Control) selfStatus() *api.ControlStatus {
	status := c.replica.Status()
	out := &api.ControlStatus{
		Instance: c.settings.Instance, Replica: uint64(status.ID), Group: status.Group,
		Current: status.HasActiveLeader, Removed: status.Removed, Revision: c.store.Revision(),
		Applied: status.Applied, SnapshotIndex: status.SnapshotIndex,
		LogBytes: status.LogBytes, SnapshotBytes: status.SnapshotBytes,
		Routers: c.leases.routerStatus(time.Now()),
	}
	for _, member := range status.Membership.Members {
		out.Replicas = append(out.Replicas, api.ReplicaStatus{
			ID: uint64(member.ID), Instance: member.Instance,
			Learner: member.Learner, Leader: member.ID == status.Leader,
		})
	}
	out.EvacuatedDomains = c.store.Evacuations().Domains
	out.Followers = c.followerStatus(time.Now())
	return out
}
