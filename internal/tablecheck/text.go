package tablecheck

import (
	"fmt"
	"strings"
)

// Text returns the report for an operator, one line for each finding and each difference or
// changed field. Name names the table.
func (r *Report) Text(name string) string {
	out := &strings.Builder{}
	for _, f := range r.Errors {
		fmt.Fprintf(out, "error %d %s: %s: %s: %s; expected: %s\n", f.Code, f.CodeName, f.Object, f.Field, f.Message, f.Expected)
	}
	for _, f := range r.Warnings {
		fmt.Fprintf(out, "warning: %s: %s: %s; expected: %s\n", f.Object, f.Field, f.Message, f.Expected)
	}
	r.writeComparison(out)
	verdict := "ok"
	if r.Status() != StatusOK {
		verdict = fmt.Sprintf("%d errors, %d warnings", len(r.Errors), len(r.Warnings))
	}
	fmt.Fprintf(out, "%s: %s\n", name, verdict)
	return out.String()
}

func (r *Report) writeComparison(out *strings.Builder) {
	c := r.Comparison
	if c == nil {
		return
	}
	if c.BaseGeneration == nil {
		fmt.Fprintf(out, "%s: no table in force yet; the table has version %d\n", c.Base, r.Generation)
	} else {
		fmt.Fprintf(out, "%s: version %d -> %d\n", c.Base, *c.BaseGeneration, r.Generation)
	}
	for _, d := range c.Differences {
		if len(d.Fields) == 0 {
			fmt.Fprintf(out, "%s: %s\n", d.Change, d.Object)
		}
		for _, f := range d.Fields {
			switch {
			case f.Before == "":
				fmt.Fprintf(out, "%s: %s: %s: added %s\n", d.Change, d.Object, f.Field, f.After)
			case f.After == "":
				fmt.Fprintf(out, "%s: %s: %s: removed %s\n", d.Change, d.Object, f.Field, f.Before)
			default:
				fmt.Fprintf(out, "%s: %s: %s: %s -> %s\n", d.Change, d.Object, f.Field, f.Before, f.After)
			}
		}
	}
	if len(c.Differences) == 0 && !c.OnlyUnused {
		fmt.Fprintln(out, "no differences in the fields that the product uses")
	}
	if c.OnlyUnused {
		fmt.Fprintln(out, "differences only in fields that the product does not use")
	}
}
