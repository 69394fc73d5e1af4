package scenario

import (
	"regexp"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"peridotwinch.example/peridotwinch/internal/testcluster"
)

func init() {
	commands["until"] = until
}

// absent begins a pattern that must not match.
const absent = "!"

// until runs a program again until all patterns before "--" hold of one output:
// until PATTERN... -- PROGRAM ARGS...
func until(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg)
	at := slices.Index(args, "--")
	if at < 1 || at+1 >= len(args) {
		ts.Fatalf("usage: until PATTERN... -- PROGRAM ARGS...")
	}
	ts.Check(testcluster.Eventually(func() error { return matchOutput(ts, args[:at], args[at+1:]) }))
}

func matchOutput(ts *testscript.TestScript, patterns, command []string) error {
	err := ts.Exec(command[0], command[1:]...)
	output := ts.ReadFile("stdout")
	for _, pattern := range patterns {
		expression, mustNot := strings.CutPrefix(pattern, absent)
		matches, compileErr := regexp.MatchString("(?m)"+expression, output)
		ts.Check(compileErr)
		if matches == mustNot {
			return errors.Errorf("%q does not hold (%v) in:\n%s", pattern, err, output)
		}
	}
	return nil
}
