package cli

import (
	"context"
	"fmt"
	"os"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/adapter"
	"peridotwinch.example/peridotwinch/internal/routetable"
	"peridotwinch.example/peridotwinch/internal/tablecheck"
)

// Output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

// tableCheck is a check of a route table.
type tableCheck struct {
	adapters    adapter.Set
	path        string
	adapterName string
	against     string
	control     string
	output      string
}

// run prints the report. It returns an exitStatus if there are findings, and another error if the
// check could not be made.
func (c *tableCheck) run(ctx context.Context, args []string) error {
	if err := c.validate(args); err != nil {
		return err
	}
	format, err := c.format()
	if err != nil {
		return err
	}
	source, err := os.ReadFile(c.path)
	if err != nil {
		return usageError("%v", err)
	}
	table, violations := format.CheckTable(source)
	report := tablecheck.Check(table, violations)
	if c.against != "" || c.control != "" {
		base, err := c.base(ctx, format, source)
		if err != nil {
			return err
		}
		report.Compare(table, base)
	}
	if c.output == outputJSON {
		err = printJSON(report)
	} else {
		_, err = fmt.Print(report.Text(c.path))
	}
	if err != nil {
		return err
	}
	if status := report.Status(); status != tablecheck.StatusOK {
		return exitStatus(status)
	}
	return nil
}

func (c *tableCheck) validate(args []string) error {
	switch {
	case len(args) > 0:
		return usageError("-table accepts no settings files")
	case c.against != "" && c.control != "":
		return usageError("-against and -control exclude each other")
	case c.output != outputText && c.output != outputJSON:
		return usageError("the output format must be text or json, not %q", c.output)
	}
	return nil
}

// format returns the adapter named by the flag, or the only one.
func (c *tableCheck) format() (adapter.Adapter, error) {
	if c.adapterName == "" && len(c.adapters) == 1 {
		for _, only := range c.adapters {
			return only, nil
		}
	}
	format, ok := c.adapters[c.adapterName]
	if !ok {
		return nil, usageError("no adapter is named %q", c.adapterName)
	}
	return format, nil
}

// base returns the table with which to compare. It may have violations, but must be decodable.
func (c *tableCheck) base(ctx context.Context, format adapter.Adapter, source []byte) (tablecheck.Base, error) {
	base := tablecheck.Base{Name: c.against}
	var baseSource []byte
	var err error
	if c.against != "" {
		if baseSource, err = os.ReadFile(c.against); err != nil {
			return base, usageError("%v", err)
		}
	} else {
		base.Name = c.control
		baseSource, err = api.NewClient(c.control, currentUser()).RouteTable(ctx, format.TablePath())
		if err != nil && api.AsError(err).Code == api.CodeNotConfigured {
			return base, nil
		}
		if err != nil {
			return base, err
		}
	}
	table, err := format.DecodeTable(baseSource)
	if err != nil {
		var violations routetable.Violations
		if table, violations = format.CheckTable(baseSource); table == nil {
			first := violations[0].Err
			return base, api.FieldErrorf(first.Code, first.Field, "%s: %s", base.Name, first.Message)
		}
	}
	base.Table, base.SameSource = table, tablecheck.SameValue(source, baseSource)
	return base, nil
}
