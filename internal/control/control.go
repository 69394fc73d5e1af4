package control

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/oklog/run"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/httpx"
	"peridotwinch.example/peridotwinch/internal/rpc/configpb"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// maxResourceBytes bounds the body of a write.
const maxResourceBytes = 1 << 20

// Control is the control role of a daemon.
type Control struct {
	log       zerolog.Logger
	store     *Store
	leases    *leases
	heartbeat time.Duration
	operators net.Listener
}

// New opens the role's listener and returns the role.
func New(s *settings.Settings, log zerolog.Logger) (*Control, error) {
	operators, err := httpx.Listen("listen.operators", s.Listen.Operators)
	if err != nil {
		return nil, err
	}
	return &Control{
		operators: operators,
		log:       log,
		store:     NewStore(s.NameSchemes),
		leases:    newLeases(s.PeersWithRole(settings.RoleRouter)),
		heartbeat: s.Timeouts.Heartbeat(),
	}, nil
}

// AddForeground adds no actor: operators repeat a request that was cut.
func (c *Control) AddForeground(*run.Group) {}

// AddBackground adds the resource API's actor.
func (c *Control) AddBackground(group *run.Group) {
	actor.Add(group, func(ctx context.Context) error {
		return httpx.Serve(ctx, c.operators, c.Handler(), httpx.ReadHeaderTimeout)
	})
}

// Register adds the role's RPCs to a server.
func (c *Control) Register(mux drpc.Mux) error { return configpb.DRPCRegisterConfig(mux, c) }

// Handler returns the resource API.
func (c *Control) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /apis/v1/{kind}", c.list)
	mux.HandleFunc("GET /apis/v1/{kind}/{name}", c.get)
	mux.HandleFunc("PUT /apis/v1/{kind}/{name}", c.put)
	mux.HandleFunc("DELETE /apis/v1/{kind}/{name}", c.delete)
	return mux
}

func (c *Control) list(w http.ResponseWriter, r *http.Request) {
	kind := api.Kind(r.PathValue("kind"))
	httpx.WriteJSON(w, http.StatusOK, c.store.List(kind))
}

func (c *Control) get(w http.ResponseWriter, r *http.Request) {
	resource, err := c.store.Get(api.Kind(r.PathValue("kind")), api.Ref(r.PathValue("name")))
	c.answer(w, resource, err)
}

func (c *Control) put(w http.ResponseWriter, r *http.Request) {
	resource := &api.Resource{}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxResourceBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(resource); err != nil {
		httpx.WriteError(w, api.Errorf(api.CodeResourceInvalid, "%v", err))
		return
	}
	resource.Kind = api.Kind(r.PathValue("kind"))
	stored, err := c.store.Put(api.Ref(r.PathValue("name")), resource)
	c.logChange("put", r, err)
	c.answer(w, stored, err)
}

func (c *Control) delete(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.URL.Query().Get("resourceVersion"), 10, 64)
	if err != nil {
		httpx.WriteError(w, api.FieldErrorf(api.CodeResourceInvalid, "resourceVersion", "not a number"))
		return
	}
	err = c.store.Delete(api.Kind(r.PathValue("kind")), api.Ref(r.PathValue("name")), version)
	c.logChange("delete", r, err)
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (c *Control) logChange(verb string, r *http.Request, err error) {
	c.log.Info().Err(err).Str("verb", verb).Str("path", r.URL.Path).
		Str("operator", r.Header.Get(api.HeaderOperator)).
		Str("requestId", r.Header.Get(api.HeaderRequestID)).Msg("configuration change")
}

func (c *Control) answer(w http.ResponseWriter, resource *api.Resource, err error) {
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	out := *resource
	out.Status = c.leases.status(time.Now(), resource.ResourceVersion)
	httpx.WriteJSON(w, http.StatusOK, &out)
}
