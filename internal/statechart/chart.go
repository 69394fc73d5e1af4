// Package statechart interprets state charts that stand in JSON files.
package statechart

import (
	"bytes"
	"context"
	"embed"
	"encoding/json"
	"io/fs"
	"slices"

	"github.com/pkg/errors"
	"github.com/qmuntal/stateless"

	"peridotwinch.example/peridotwinch/api"
)

//go:embed charts/*.json
var embedded embed.FS

// State names a state of a chart.
type State string

// Event names an event of a chart.
type Event string

// Transition leads from a state to another on an event.
type Transition struct {
	From  State `json:"from"`
	Event Event `json:"event"`
	To    State `json:"to"`
}

// Definition is the content of a chart file.
type Definition struct {
	Name        string       `json:"name"`
	Initial     State        `json:"initial"`
	States      []State      `json:"states"`
	Events      []Event      `json:"events"`
	Transitions []Transition `json:"transitions"`
}

// Chart is a checked chart. It is safe for concurrent use.
type Chart struct {
	definition Definition
	machine    *stateless.StateMachine
}

type stateKey struct{}

// Load returns the embedded chart of the given name.
func Load(name string) (*Chart, error) {
	raw, err := fs.ReadFile(embedded, "charts/"+name+".json")
	if err != nil {
		return nil, api.Errorf(api.CodeChartInvalid, "no chart %q", name)
	}
	return Parse(raw)
}

// MustLoad is Load for charts that ship with the binary.
func MustLoad(name string) *Chart {
	chart, err := Load(name)
	if err != nil {
		panic(err)
	}
	return chart
}

// Parse decodes and checks a chart.
func Parse(raw []byte) (*Chart, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	definition := Definition{}
	if err := decoder.Decode(&definition); err != nil {
		return nil, api.Errorf(api.CodeChartInvalid, "%v", err)
	}
	if err := definition.validate(); err != nil {
		return nil, err
	}
	return &Chart{definition: definition, machine: definition.build()}, nil
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
	return d.validateReachable()
}

func (d *Definition) validateReachable() error {
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

func (d *Definition) build() *stateless.StateMachine {
	machine := stateless.NewStateMachineWithExternalStorage(loadState, storeState, stateless.FiringImmediate)
	for _, t := range d.Transitions {
		machine.Configure(t.From).PermitDynamic(t.Event, destination(t.To))
	}
	return machine
}

func destination(to State) stateless.DestinationSelectorFunc {
	return func(context.Context, ...any) (stateless.State, error) { return to, nil }
}

func loadState(ctx context.Context) (stateless.State, error) {
	return *ctx.Value(stateKey{}).(*State), nil
}

func storeState(ctx context.Context, state stateless.State) error {
	*ctx.Value(stateKey{}).(*State) = state.(State)
	return nil
}

// Initial returns the state in which a machine starts.
func (c *Chart) Initial() State { return c.definition.Initial }

// Next returns the state that follows on an event, or an error where the chart
// has no such transition.
func (c *Chart) Next(from State, event Event) (State, error) {
	state := from
	ctx := context.WithValue(context.Background(), stateKey{}, &state)
	if err := c.machine.FireCtx(ctx, event); err != nil {
		return from, errors.Wrapf(err, "chart %s", c.definition.Name)
	}
	return state, nil
}
