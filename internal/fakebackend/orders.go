package fakebackend

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/httpx"
)

// OrderKind is the change that an order makes to a backend server.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadModel  OrderKind = "load_model"
	OrderDrain      OrderKind = "drain"
	OrderChangeRole OrderKind = "change_role"
)

// Order is an instruction to a backend server.
type Order struct {
	Kind  OrderKind `json:"kind"`
	Model string    `json:"model,omitempty"`
	Role  string    `json:"role,omitempty"`
	// FencingToken increases with each new holder of the right to give orders.
	FencingToken uint64 `json:"fencingToken"`
}

// OrderState is the state after the orders executed so far.
type OrderState struct {
	Models       []string `json:"models"`
	Role         string   `json:"role,omitempty"`
	FencingToken uint64   `json:"fencingToken"`
	// Taken counts the executed orders.
	Taken int `json:"taken"`
}

// orderExecutor executes orders. It is safe for concurrent use.
type orderExecutor struct {
	checksFencing bool
	models        []string

	mu    sync.Mutex
	state OrderState
}

// execute executes an order. If checksFencing is set, an order with a fencing token below
// the highest one seen fails with CodeFencingTokenOld.
func (e *orderExecutor) execute(order Order) (OrderState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checksFencing && order.FencingToken < e.state.FencingToken {
		return OrderState{}, api.FieldErrorf(api.CodeFencingTokenOld, "fencingToken", "%d is lower than the highest token seen, %d", order.FencingToken, e.state.FencingToken).NotRun()
	}
	switch order.Kind {
	case OrderLoadModel:
		e.loadModel(order.Model)
	case OrderChangeRole:
		e.state.Role = order.Role
	case OrderDrain:
	default:
		return OrderState{}, api.FieldErrorf(api.CodeRequestInvalid, "kind", "unknown kind of order %q", order.Kind).NotRun()
	}
	e.state.FencingToken = max(e.state.FencingToken, order.FencingToken)
	e.state.Taken++
	state := e.state
	state.Models = slices.Clone(e.models)
	return state, nil
}

func (e *orderExecutor) loadModel(model string) {
	if !slices.Contains(e.models, model) {
		e.models = append(e.models, model)
	}
}

// loadedModels returns a copy of the list of loaded models.
func (e *orderExecutor) loadedModels() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.models)
}

func (s *Server) executeOrder(w http.ResponseWriter, r *http.Request) {
	order := Order{}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		httpx.WriteError(w, api.Errorf(api.CodeRequestInvalid, "decode the request body: %v", err).NotRun())
		return
	}
	state, err := s.orders.execute(order)
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	if order.Kind == OrderDrain {
		s.drain()
	}
	httpx.WriteJSON(w, http.StatusOK, &state)
}
