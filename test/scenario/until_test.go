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

// negationPrefix begins a pattern that must not match.
const negationPrefix = "!"

// until reruns a program until one output satisfies all patterns before "--":
// until PATTERN... -- PROGRAM ARGS...
func until(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	separator := slices.Index(args, "--")
	if separator < 1 || separator+1 >= len(args) {
		ts.Fatalf("usage: until PATTERN... -- PROGRAM ARGS...")
	}
	ts.Check(testcluster.Eventually(func() error { return matchOutput(ts, args[:separator], args[separator+1:]) }))
}

// matchOutput runs a command and returns an error unless its standard output
// satisfies all patterns.
func matchOutput(ts *testscript.TestScript, patterns, command []string) error {
	err := ts.Exec(command[0], command[1:]...)
	output := ts.ReadFile("stdout")
	for _, pattern := range patterns {
		expression, negated := strings.CutPrefix(pattern, negationPrefix)
		matches, compileErr := regexp.MatchString("(?m)"+expression, output)
		ts.Check(compileErr)
		if matches == negated {
			return errors.Errorf("pattern %q is not satisfied (command error: %v) in:\n%s", pattern, err, output)
		}
	}
	return nil
}
