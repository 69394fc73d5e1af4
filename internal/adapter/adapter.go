// Package adapter defines the translation between a deployment's own interface and the
// product. An adapter decodes what callers, backend servers and operators send into the
// product's types; it contains no routing or control logic.
package adapter

import (
	"context"
	"net/http"

	"peridotwinch.example/peridotwinch/internal/gateway"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/routetable"
)

// Control is the interface of a control replica for an adapter.
type Control interface {
	// ReplaceRouteTable stores a table durably. It changes nothing if the generation is
	// not higher than the one in force.
	ReplaceRouteTable(ctx context.Context, operator string, document *routetable.Document) error
	// CurrentRouteTable returns the table that a majority confirms, or nil if there is
	// none yet.
	CurrentRouteTable(ctx context.Context) (*routetable.Document, error)
	// Announce applies a backend server's announcement. It returns an error with
	// api.CodeNoQuorum if the server leaves and no replica could store that.
	Announce(ctx context.Context, server registry.Server) error
	// AnnouncementAddress returns the address to which the server should send its later
	// announcements, or an empty string if it should choose a replica itself.
	AnnouncementAddress(server registry.Server) string
	// Withdraw marks a backend server as gone. It returns an error as Announce does.
	Withdraw(ctx context.Context, id string) error
	// Evacuate orders that no further requests are sent to the servers of a failure domain, and
	// Reinstate withdraws that order. The order is durable when they return nil. One that is in
	// force already succeeds and changes nothing. The context is that of the operator's HTTP
	// request: an order whose caller has left is dropped. The error has api.CodeDomainUnknown
	// for an unknown domain, and api.CodeNoQuorum if the outcome is unknown.
	Evacuate(ctx context.Context, operator, domain string) error
	Reinstate(ctx context.Context, operator, domain string) error
	// LogRefusal logs a call that was refused because it could not be decoded. The
	// subject is the kind of call or the server's ID.
	LogRefusal(subject string, err error)
}

// Adapter translates between a deployment's interface and the product.
type Adapter interface {
	// DecodeTable decodes the declared form of a route table that control has accepted, in this or an
	// earlier version.
	DecodeTable(source []byte) (*routetable.Table, error)
	// CheckTable decodes a route table that an operator sends, and returns all violations. The table
	// is nil if the source cannot be read in full.
	CheckTable(source []byte) (*routetable.Table, routetable.Violations)
	// TablePath is the path of the control handler at which a GET returns the declared form of the
	// table in force.
	TablePath() string
	// ControlHandler returns the HTTP handler for operators and backend servers.
	ControlHandler(control Control) http.Handler
	// Dialect returns the translation of callers' and backend servers' headers.
	Dialect() gateway.Dialect
}

// Set has the adapters by their names in the settings.
type Set map[string]Adapter
