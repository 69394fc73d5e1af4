// Package spec checks the Promela protocol models of this folder with the Spin model
// checker.
package spec

import (
	"cmp"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// modelCheck is one Spin run over a model; preprocessor names remove rules or set sizes.
type modelCheck struct {
	model   string
	defines []string
	// panOptions are preprocessor options for compiling the verifier, in addition to the
	// common ones.
	panOptions []string
	// depth is the verifier's search depth limit, in steps.
	depth int
	// optimization is the C compiler's optimization level; defaultOptimization if empty.
	// With the default level, compilation takes longer than a small search.
	optimization string
}

// defaultOptimization is the C compiler's optimization level of a check that sets none.
const defaultOptimization = "-O2"

// result is the outcome of a verifier run.
type result struct {
	errors int
	states int
	// incomplete reports that the depth or memory limit ended the search.
	incomplete bool
	output     string
}

var (
	errorsPattern = regexp.MustCompile(`errors: (\d+)`)
	statesPattern = regexp.MustCompile(`(\d+(?:\.\d+)?(?:e\+\d+)?) states, stored`)
)

// verify searches the state space of a model exhaustively, or until the first violation.
func verify(t *testing.T, check modelCheck) result {
	t.Helper()
	g := NewWithT(t)
	if _, err := exec.LookPath("spin"); err != nil {
		t.Fatal("spin is not installed; run make tools")
	}
	dir := t.TempDir()
	model, err := filepath.Abs(check.model)
	g.Expect(err).NotTo(HaveOccurred())
	runCommand(t, dir, "spin", append(prefixed("-D", check.defines), "-a", model)...)
	compile := []string{cmp.Or(check.optimization, defaultOptimization), "-w", "-DSAFETY", "-DMEMLIM=4096"}
	compile = append(compile, prefixed("-D", check.panOptions)...)
	runCommand(t, dir, "gcc", append(compile, "-o", "pan", "pan.c")...)
	output := runCommand(t, dir, "./pan", "-m"+strconv.Itoa(check.depth))
	return parseOutput(t, output)
}

func prefixed(prefix string, values []string) []string {
	out := make([]string, len(values))
	for i, value := range values {
		out[i] = prefix + value
	}
	return out
}

func runCommand(t *testing.T, dir, name string, args ...string) string {
	t.Helper()
	cmd := exec.Command(name, args...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%s %s: %v\n%s", name, strings.Join(args, " "), err, out)
	}
	return string(out)
}

func parseOutput(t *testing.T, output string) result {
	t.Helper()
	g := NewWithT(t)
	found := errorsPattern.FindStringSubmatch(output)
	g.Expect(found).NotTo(BeNil(), output)
	count, err := strconv.Atoi(found[1])
	g.Expect(err).NotTo(HaveOccurred())
	stored := statesPattern.FindStringSubmatch(output)
	g.Expect(stored).NotTo(BeNil(), output)
	states, err := strconv.ParseFloat(stored[1], 64)
	g.Expect(err).NotTo(HaveOccurred())
	incomplete := strings.Contains(output, "max search depth too small") || strings.Contains(output, "Search not completed")
	return result{errors: count, states: int(states), incomplete: incomplete, output: output}
}

// expectHolds checks that the search covers the whole state space and finds no violation.
func expectHolds(t *testing.T, check modelCheck) {
	t.Helper()
	got := verify(t, check)
	t.Logf("%s %v: %d states, %d errors", check.model, check.defines, got.states, got.errors)
	g := NewWithT(t)
	g.Expect(got.errors).To(BeZero(), got.output)
	g.Expect(got.incomplete).To(BeFalse(), got.output)
}

// expectRefuted checks that the search finds a violation, as it must once a rule is
// removed.
func expectRefuted(t *testing.T, check modelCheck) {
	t.Helper()
	got := verify(t, check)
	t.Logf("%s %v: %d states, %d errors", check.model, check.defines, got.states, got.errors)
	NewWithT(t).Expect(got.errors).NotTo(BeZero(), got.output)
}
