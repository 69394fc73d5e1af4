// Package actor adds context-driven actors to oklog/run groups.
package actor

import (
	"context"

	"github.com/oklog/run"
)

// Func runs until ctx ends or it fails.
type Func func(ctx context.Context) error

// Add adds an actor that is interrupted by ending its context.
func Add(group *run.Group, run Func) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return run(ctx) }, func(error) { cancel() })
}

// AddDraining adds an actor whose interrupt waits until it has finished. A run
// group interrupts its actors in the order in which they were added, so the
// actors added after this one go on until it has drained.
func AddDraining(group *run.Group, run Func) {
	ctx, cancel := context.WithCancel(context.Background())
	finished := make(chan struct{})
	execute := func() error {
		defer close(finished)
		return run(ctx)
	}
	interrupt := func(error) {
		cancel()
		<-finished
	}
	group.Add(execute, interrupt)
}
