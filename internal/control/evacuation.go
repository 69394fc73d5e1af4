package control

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/evacuation"
	"peridotwinch.example/peridotwinch/internal/httpx"
)

const (
	// leaderWaitTimeout is how long an order waits for an active leader before it fails. Most
	// elections take 0.2 s; the platform's operator asks the next instance after 1 s.
	leaderWaitTimeout = 500 * time.Millisecond
	// leaderPollInterval is the time between two checks in that wait.
	leaderPollInterval = 20 * time.Millisecond
)

// applyEvacuation applies an order to the store; the caller holds mu. The error has
// CodeVersionConflict if another order on the domain was applied since the order's base was read.
func (s *Store) applyEvacuation(command *Command) *api.Error {
	change := evacuation.Change{Time: command.Time, Operator: command.Operator, RequestID: command.RequestID}
	before := s.evacuations.Revision
	if !s.evacuations.Apply(*command.Evacuation, change) {
		return api.FieldErrorf(api.CodeVersionConflict, "domain", "another order on %q was given first", command.Evacuation.Domain)
	}
	if s.evacuations.Revision != before {
		s.notify()
	}
	return nil
}

// Evacuations returns the evacuated failure domains.
func (s *Store) Evacuations() *evacuation.Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuations.Set()
}

// evacuationChanges returns the audit trail of the evacuations.
func (s *Store) evacuationChanges() []evacuation.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuations.Changes
}

// evacuationOf returns the state of a failure domain.
func (s *Store) evacuationOf(domain string) evacuation.Domain {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuations.Domains[domain]
}

// Evacuate implements adapter.Control.
func (c *Control) Evacuate(ctx context.Context, operator, domain string) error {
	return c.order(ctx, operator, "", domain, true)
}

// Reinstate implements adapter.Control.
func (c *Control) Reinstate(ctx context.Context, operator, domain string) error {
	return c.order(ctx, operator, "", domain, false)
}

// order makes an order durable, and logs and counts it.
func (c *Control) order(ctx context.Context, operator, requestID, domain string, evacuate bool) error {
	verb := api.VerbReinstate
	if evacuate {
		verb = api.VerbEvacuate
	}
	started := time.Now()
	err := c.commitOrder(ctx, verb, operator, evacuation.Order{Domain: domain, Evacuate: evacuate, RequestID: requestID})
	recordOrder(verb, err, time.Since(started))
	c.log.Info().Err(err).Str("verb", string(verb)).Str("domain", domain).Str("operator", operator).
		Str("requestId", requestID).Dur("took", time.Since(started)).Msg("evacuation order")
	return err
}

// commitOrder reads the domain's state behind a read barrier, checks that the caller still waits,
// and proposes the order on the state that it read. If another order on the domain was applied
// first, it starts over. An order that a stalled replica handles after a later one was
// acknowledged thus has no effect: either its caller has left, or the check of its base fails.
// The order passes the log even if it is in force already, see evacuation.State.Apply.
func (c *Control) commitOrder(ctx context.Context, verb api.Verb, operator string, order evacuation.Order) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if err := c.awaitLeader(ctx); err != nil {
		return err
	}
	for {
		if err := c.readBarrier(ctx); err != nil {
			return err
		}
		state := c.store.evacuationOf(order.Domain)
		if err := c.checkDomain(order.Domain, state); err != nil {
			return err
		}
		if httpx.CallerLeft(ctx) {
			return api.Errorf(api.CodeNoQuorum, "the caller of the order has left")
		}
		order.Base = state.Orders
		err := c.proposeOrder(ctx, verb, operator, order)
		if api.AsError(err).Code != api.CodeVersionConflict {
			return err
		}
	}
}

// awaitLeader returns once the replica is in contact with a leader that has a majority, or an
// error with CodeNoQuorum after leaderWaitTimeout.
func (c *Control) awaitLeader(ctx context.Context) error {
	for started := time.Now(); !c.replica.Status().HasActiveLeader; {
		if time.Since(started) > leaderWaitTimeout || !actor.Sleep(ctx, leaderPollInterval) {
			return noLeaderError()
		}
	}
	return nil
}

func noLeaderError() *api.Error {
	return api.Errorf(api.CodeNoQuorum, "this control replica has no contact with a leader that has a majority")
}

// proposeOrder proposes an order on the state that its base names. The command has a request ID of
// its own rather than the operator's: a repetition of the same proposal returns the outcome of the
// first one, but the proposal after a conflict is another write.
func (c *Control) proposeOrder(ctx context.Context, verb api.Verb, operator string, order evacuation.Order) error {
	command := newCommand(verb, "", operator)
	command.Evacuation = &order
	raw, err := json.Marshal(command)
	if err != nil {
		return api.Errorf(api.CodeInternal, "encode a command: %v", err)
	}
	rawOutcome, err := c.replica.Propose(ctx, raw)
	if err != nil {
		return err
	}
	outcome, err := decodeOutcome(rawOutcome)
	if err != nil {
		return err
	}
	if outcome.Error != nil {
		return outcome.Error
	}
	return nil
}

// checkDomain returns CodeDomainUnknown for a failure domain that is neither known nor has had an order: an
// order that is repeated, because its answer was lost, succeeds also if the domain has no servers any more.
// Until the replica has the servers of another one, the error has CodeNoQuorum, so that the
// caller asks another instance.
func (c *Control) checkDomain(domain string, state evacuation.Domain) error {
	if state.Orders > 0 {
		return nil
	}
	known := c.settings.Domains
	if len(known) == 0 && c.fleetSync != nil {
		var complete bool
		if known, complete = c.fleetSync.Domains(); !complete {
			return api.Errorf(api.CodeNoQuorum, "this control replica does not have the backend servers yet")
		}
	}
	if slices.Contains(known, domain) {
		return nil
	}
	return api.FieldErrorf(api.CodeDomainUnknown, "domain", "%q; known are %s", domain, strings.Join(known, ", "))
}

// Evacuations implements fleetsync.Source.
func (r *fleetSource) Evacuations() *evacuation.Set { return r.control.store.Evacuations() }
