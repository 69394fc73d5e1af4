// Package tablecheck examines a route table before an operator sends it: it reports all errors for
// which control would refuse the table, warnings, and the differences from another table.
package tablecheck

import (
	"fmt"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/routetable"
)

// Exit statuses of a check.
const (
	StatusOK       = 0
	StatusErrors   = 1
	StatusWarnings = 2
)

// Object identifies an object of a table.
type Object struct {
	Kind routetable.ObjectKind `json:"kind"`
	// Index is the object's index in the table's list of objects of this kind.
	Index int    `json:"index"`
	Name  string `json:"name,omitempty"`
}

// String returns the kind and the name, or the kind and the index of an object without a name.
func (o Object) String() string {
	switch {
	case o.Kind == routetable.ObjectTable:
		return string(o.Kind)
	case o.Name == "":
		return fmt.Sprintf("%s %d", o.Kind, o.Index)
	}
	return fmt.Sprintf("%s %q", o.Kind, o.Name)
}

// Finding is an error or a warning about a field of a table.
type Finding struct {
	// Code and CodeName are the result code of control's refusal; 0 and empty for a warning.
	Code     api.Code `json:"code,omitempty"`
	CodeName string   `json:"codeName,omitempty"`
	Object   Object   `json:"object"`
	Field    string   `json:"field"`
	Expected string   `json:"expected"`
	Message  string   `json:"message"`
}

// Report is the result of a check.
type Report struct {
	Generation uint64    `json:"generation"`
	Errors     []Finding `json:"errors"`
	Warnings   []Finding `json:"warnings"`
	// Comparison is nil if the table was compared with no other one.
	Comparison *Comparison `json:"comparison,omitempty"`
}

// Status returns the exit status. Differences are no findings.
func (r *Report) Status() int {
	switch {
	case len(r.Errors) > 0:
		return StatusErrors
	case len(r.Warnings) > 0:
		return StatusWarnings
	}
	return StatusOK
}

// Check reports on a table with the violations that its decoding found. The table is nil if it
// could not be decoded; then there are no warnings.
func Check(table *routetable.Table, violations routetable.Violations) *Report {
	report := &Report{Errors: []Finding{}, Warnings: []Finding{}}
	for _, v := range violations {
		report.Errors = append(report.Errors, Finding{
			Code: v.Err.Code, CodeName: v.Err.Name, Object: objectOf(table, v.Kind, v.Index),
			Field: v.Err.Field, Expected: v.Expected, Message: v.Err.Message,
		})
	}
	if table != nil {
		report.Generation = table.Generation
		report.Warnings = append(report.Warnings, warnings(table)...)
	}
	return report
}

func objectOf(table *routetable.Table, kind routetable.ObjectKind, index int) Object {
	object := Object{Kind: kind, Index: index}
	if table == nil {
		return object
	}
	switch kind {
	case routetable.ObjectRoute:
		object.Name = table.Routes[index].Name
	case routetable.ObjectPool:
		object.Name = table.Pools[index].Name
	case routetable.ObjectCustomer:
		object.Name = table.Customers[index].Name
	}
	return object
}
