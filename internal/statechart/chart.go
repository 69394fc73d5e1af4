// Package statechart loads state charts from embedded JSON files and evaluates
// their transitions.
package statechart

import (
	"bytes"
	"context"
	"embed"
	"io/fs"
	"slices"

	"github.com/pkg/errors"
	"github.com/qmuntal/stateless"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/jsonx"
)

//go:embed charts/*.json
var embedded embed.FS

// State is the name of a state in a chart.
type State string

// Event is the name of an event in a chart.
type Event string

// Transition is a change from one state to another on an event.
type Transition struct {
	From  State `json:"from"`
	Event Event `json:"event"`
	To    State `json:"to"`
}

// Definition is the decoded content of a chart file.
type Definition struct {
	Name        string       `json:"name"`
	Initial     State        `json:"initial"`
	States      []State      `json:"states"`
	Events      []Event      `json:"events"`
	Transitions []Transition `json:"transitions"`
}

// Chart is a validated state chart. It holds no current state, so that many
// state machines can share it. It is safe for concurrent use.
type Chart struct {
	definition Definition
	machine    *stateless.StateMachine
}

// stateKey is the context key of the *State that a transition reads and updates.
type stateKey struct{}

// Load returns the embedded chart of the given name. It fails with
// CodeChartInvalid if there is no such chart or the chart is not valid.
func Load(name string) (*Chart, error) {
	raw, err := fs.ReadFile(embedded, "charts/"+name+".json")
	if err != nil {
		return nil, api.Errorf(api.CodeChartInvalid, "no embedded state chart %q", name)
	}
	return Parse(raw)
}

// MustLoad is like Load but panics on error. It is meant for charts that are
// part of the binary.
func MustLoad(name string) *Chart {
	chart, err := Load(name)
	if err != nil {
		panic(err)
	}
	return chart
}

// Parse decodes and validates a chart. It fails with CodeChartInvalid if the
// chart has an unknown field, names an undeclared state or event, or has a state
// that cannot be reached from the initial state.
func Parse(raw []byte) (*Chart, error) {
	definition := Definition{}
	if err := jsonx.DecodeKnown(bytes.NewReader(raw), &definition); err != nil {
		return nil, api.Errorf(api.CodeChartInvalid, "decode the state chart: %v", err)
	}
	if err := definition.validate(); err != nil {
		return nil, err
	}
	return &Chart{definition: definition, machine: definition.buildMachine()}, nil
}

func (d *Definition) validate() error {
	if !slices.Contains(d.States, d.Initial) {
		return api.FieldErrorf(api.CodeChartInvalid, "initial", "unknown state %q", d.Initial)
	}
	for _, t := range d.Transitions {
		if !slices.Contains(d.States, t.From) || !slices.Contains(d.States, t.To) {
			return api.FieldErrorf(api.CodeChartInvalid, "transitions", "unknown state in %q -> %q", t.From, t.To)
		}
		if !slices.Contains(d.Events, t.Event) {
			return api.FieldErrorf(api.CodeChartInvalid, "transitions", "unknown event %q", t.Event)
		}
	}
	return d.validateReachability()
}

func (d *Definition) validateReachability() error {
	reached := []State{d.Initial}
	for i := 0; i < len(reached); i++ {
		for _, t := range d.Transitions {
			if t.From == reached[i] && !slices.Contains(reached, t.To) {
				reached = append(reached, t.To)
			}
		}
	}
	for _, state := range d.States {
		if !slices.Contains(reached, state) {
			return api.FieldErrorf(api.CodeChartInvalid, "states", "state %q cannot be reached", state)
		}
	}
	return nil
}

func (d *Definition) buildMachine() *stateless.StateMachine {
	machine := stateless.NewStateMachineWithExternalStorage(loadState, storeState, stateless.FiringImmediate)
	for _, t := range d.Transitions {
		machine.Configure(t.From).PermitDynamic(t.Event, destinationSelector(t.To))
	}
	return machine
}

func destinationSelector(to State) stateless.DestinationSelectorFunc {
	return func(context.Context, ...any) (stateless.State, error) { return to, nil }
}

func loadState(ctx context.Context) (stateless.State, error) {
	return *ctx.Value(stateKey{}).(*State), nil
}

func storeState(ctx context.Context, state stateless.State) error {
	*ctx.Value(stateKey{}).(*State) = state.(State)
	return nil
}

// Initial returns the initial state.
func (c *Chart) Initial() State { return c.definition.Initial }

// Next returns the state after event in state from. If the chart has no such
// transition, it returns from and an error.
func (c *Chart) Next(from State, event Event) (State, error) {
	state := from
	ctx := context.WithValue(context.Background(), stateKey{}, &state)
	if err := c.machine.FireCtx(ctx, event); err != nil {
		return from, errors.Wrapf(err, "state chart %s", c.definition.Name)
	}
	return state, nil
}
