package control

import (
	"context"
	"encoding/json"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/routetable"
)

// maxRetainedTableChanges limits the audit trail of the route table, because every snapshot
// contains it: at 10,000 changes a day, the trail of one day would take 700 KB.
const maxRetainedTableChanges = 256

// TableChange is an entry in the audit trail of the route table.
type TableChange struct {
	Generation uint64    `json:"generation"`
	Time       time.Time `json:"time"`
	Operator   string    `json:"operator,omitempty"`
	RequestID  string    `json:"requestId"`
}

// replaceTable replaces the route table if the new one has a higher generation. Otherwise it
// changes nothing, so that a retry is idempotent.
func (s *Store) replaceTable(command *Command) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if command.RouteTable == nil || s.routeTable != nil && command.RouteTable.Generation <= s.routeTable.Generation {
		return
	}
	s.routeTable = command.RouteTable
	s.tableAudit = append(s.tableAudit, TableChange{
		Generation: s.routeTable.Generation, Time: command.Time, Operator: command.Operator, RequestID: command.RequestID,
	})
	if len(s.tableAudit) > maxRetainedTableChanges {
		s.tableAudit = s.tableAudit[1:]
	}
	s.notify()
}

// RouteTable returns the current route table, or nil before the first one.
func (s *Store) RouteTable() *routetable.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routeTable
}

// ReplaceRouteTable makes a route table durable on a majority of the control replicas. A
// table whose generation is not higher than that of the current one changes nothing, and the
// call succeeds. After CodeNoQuorum the outcome is unknown.
func (c *Control) ReplaceRouteTable(ctx context.Context, operator string, document *routetable.Document) error {
	if err := c.checkInGroup(); err != nil {
		return err
	}
	command := newCommand(api.VerbReplace, "", operator)
	command.RouteTable = document
	raw, err := json.Marshal(command)
	if err != nil {
		return api.Errorf(api.CodeInternal, "encode a command: %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	_, err = c.replica.Propose(ctx, raw)
	c.log.Info().Err(err).Uint64("generation", document.Generation).Int("bytes", len(document.Source)).
		Str("operator", operator).Msg("route table replacement")
	return err
}

// CurrentRouteTable returns the route table after a read barrier that a majority of the
// control replicas confirms during the call, or nil before the first table. The error has
// CodeNoQuorum if no majority confirms in time.
func (c *Control) CurrentRouteTable(ctx context.Context) (*routetable.Document, error) {
	if err := c.readBarrier(ctx); err != nil {
		return nil, err
	}
	return c.store.RouteTable(), nil
}
