package promises_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/cli"
	"peridotwinch.example/peridotwinch/internal/tools/promises"
)

const root = "../../.."

var checker = promises.Checker{Root: root, Commands: cli.CommandNames()}

func TestPromisesPageIsValid(t *testing.T) {
	page, err := os.ReadFile(root + "/docs/PROMISES.md")
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	for _, fault := range checker.Check(string(page)) {
		t.Error(fault)
	}
}

// row returns a page with one row.
func row(command, figure string) string {
	return "| promise | command | seed | figure | failing first |\n|---|---|---|---|---|\n| p | " + command + " | 1 | " + figure + " | - |\n"
}

func TestValidRowsAreAccepted(t *testing.T) {
	g := NewWithT(t)
	for _, command := range []string{
		"`go test ./api -run TestCodes`", "`go test -race -count=1 ./api/ -run='TestCodes|TestUnlisted' -args -seed 1`",
		"`go test ./test/scenario -run TestScenarios/whole_path`", "`make test`, `peridotwinch status`",
		"`go test ./internal/...`", "`bin/peridotwinch load -mix x`",
	} {
		g.Expect(checker.Check(row(strings.ReplaceAll(command, "|", `\|`), "1"))).To(BeEmpty(), command)
	}
	g.Expect(checker.Check(row("not proved", "no test reaches it"))).To(BeEmpty())
	g.Expect(checker.Check(row("not proved: no test reaches it", ""))).To(BeEmpty())
}

func TestInvalidRowsAreRejected(t *testing.T) {
	g := NewWithT(t)
	for command, want := range map[string]string{
		"`go test ./nowhere -run TestCodes`":                  "no package ./nowhere",
		"`go test ./api -run TestNothing`":                    `no Test function matches "TestNothing"`,
		`` + "`go test ./api -run TestCodes\\|TestNothing`":   `matches "TestNothing"`,
		"`go test ./api -run ^$ -bench Nothing`":              "no Benchmark function",
		"`go test ./test/scenario -run TestScenarios/absent`": "no script absent.txtar",
		"`make nothing`":           "no target",
		"`peridotwinch nothing`":   "no command",
		"`true`":                   "neither go test",
		"go test ./api":            "no command in backquotes",
		"not proved":               "no reason",
		"":                         "no command in backquotes",
		"`go test -run TestCodes`": "no package",
	} {
		figure := "1"
		if command == "not proved" {
			figure = ""
		}
		errs := checker.Check(row(command, figure))
		g.Expect(errs).To(HaveLen(1), command)
		g.Expect(errs[0]).To(MatchError(ContainSubstring(want)))
	}
	g.Expect(checker.Check(row("`make test`", ""))).To(HaveLen(1))
	g.Expect(checker.Check(row("`make test` | extra", "1"))).To(HaveLen(1))
	g.Expect(checker.Check("| promise | command |\n|---|---|\n")).To(HaveLen(1))
}
