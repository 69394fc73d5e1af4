// Package actor adds context-driven actors to oklog/run groups.
package actor

import (
	"context"

	"github.com/oklog/run"
)

// Func is the body of an actor. It runs until ctx ends or it fails.
type Func func(ctx context.Context) error

// Add adds an actor to the group. Its interrupt cancels the actor's context.
func Add(group *run.Group, run Func) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return run(ctx) }, func(error) { cancel() })
}

// AddContext adds an actor that ends the group when ctx ends.
func AddContext(ctx context.Context, group *run.Group) {
	Add(group, func(groupCtx context.Context) error {
		select {
		case <-ctx.Done():
		case <-groupCtx.Done():
		}
		return nil
	})
}

// AddDraining adds an actor whose interrupt cancels the actor's context and waits until the
// actor has returned. A run group interrupts its actors in the order in which they were
// added, so the actors added after this one continue to run until it has drained.
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
