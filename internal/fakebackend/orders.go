package fakebackend

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/httpx"
)

// OrderKind names what an order asks a backend server to do.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadModel  OrderKind = "load_model"
	OrderDrain      OrderKind = "drain"
	OrderChangeRole OrderKind = "change_role"
)

// Order asks a backend server to change.
type Order struct {
	Kind  OrderKind `json:"kind"`
	Model string    `json:"model,omitempty"`
	Role  string    `json:"role,omitempty"`
	// FencingToken grows with each holder of the right to give orders.
	FencingToken uint64 `json:"fencingToken"`
}

// OrderState is what the orders so far have led to.
type OrderState struct {
	Models       []string `json:"models"`
	Role         string   `json:"role,omitempty"`
	FencingToken uint64   `json:"fencingToken"`
	// Taken counts the orders that were carried out.
	Taken int `json:"taken"`
}

// orderBook carries orders out. It is safe for concurrent use.
type orderBook struct {
	checks bool
	models []string

	mu    sync.Mutex
	state OrderState
}

// take carries an order out. Where the book checks fencing tokens, an order
// with one below the highest seen fails with CodeFencingTokenOld.
func (b *orderBook) take(order Order) (OrderState, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.checks && order.FencingToken < b.state.FencingToken {
		return OrderState{}, api.FieldErrorf(api.CodeFencingTokenOld, "fencingToken", "%d is below %d", order.FencingToken, b.state.FencingToken).NotRun()
	}
	switch order.Kind {
	case OrderLoadModel:
		b.load(order.Model)
	case OrderChangeRole:
		b.state.Role = order.Role
	case OrderDrain:
	default:
		return OrderState{}, api.FieldErrorf(api.CodeRequestInvalid, "kind", "unknown: %q", order.Kind).NotRun()
	}
	b.state.FencingToken = max(b.state.FencingToken, order.FencingToken)
	b.state.Taken++
	state := b.state
	state.Models = slices.Clone(b.models)
	return state, nil
}

func (b *orderBook) load(model string) {
	if !slices.Contains(b.models, model) {
		b.models = append(b.models, model)
	}
}

// loaded returns the models that the server has loaded.
func (b *orderBook) loaded() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.models)
}

func (s *Server) takeOrder(w http.ResponseWriter, r *http.Request) {
	order := Order{}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		httpx.WriteError(w, api.Errorf(api.CodeRequestInvalid, "%v", err).NotRun())
		return
	}
	state, err := s.orders.take(order)
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	if order.Kind == OrderDrain {
		s.drain()
	}
	httpx.WriteJSON(w, http.StatusOK, &state)
}
