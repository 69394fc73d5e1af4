// Package adapter names what a deployment's own interface has to translate. An
// adapter decodes what callers, backend servers and operators send into the
// product's types; it decides nothing.
package adapter

import (
	"context"
	"net/http"

	"peridotwinch.example/peridotwinch/internal/gateway"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/routetable"
)

// Control is what an adapter may ask of a control replica.
type Control interface {
	// ReplaceRouteTable makes a table durable; a generation that is not higher
	// than the one in force changes nothing.
	ReplaceRouteTable(ctx context.Context, operator string, document *routetable.Document) error
	// CurrentRouteTable returns the table that a majority confirms, or nil.
	CurrentRouteTable(ctx context.Context) (*routetable.Document, error)
	// Announce takes a backend server's announcement.
	Announce(ctx context.Context, server registry.Server)
	// Withdraw notes that a backend server leaves.
	Withdraw(ctx context.Context, id string)
	// LogRefusal logs a call that changed nothing because it could not be read; subject is
	// the kind of call or the server that it names.
	LogRefusal(subject string, err error)
}

// Adapter translates between a deployment's interface and the product.
type Adapter interface {
	// DecodeTable reads the declared form of a route table and checks it.
	DecodeTable(source []byte) (*routetable.Table, error)
	// ControlHandler serves operators and backend servers.
	ControlHandler(control Control) http.Handler
	// Dialect translates callers' and backend servers' headers.
	Dialect() gateway.Dialect
}

// Set holds the adapters by the name that the settings select.
type Set map[string]Adapter
