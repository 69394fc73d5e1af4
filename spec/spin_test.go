// Package spec checks the protocol models of this folder with Spin.
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

// run is a check of a model with some rules changed by preprocessor names.
type run struct {
	model   string
	defines []string
	// panOptions are compile options of the verifier besides the common ones.
	panOptions []string
	// depth is the search depth limit of the verifier.
	depth int
	// optimization is the compiler's option; a small search takes less time than
	// its compilation with the usual one.
	optimization string
}

// usualOptimization is the compiler's option unless a run names another one.
const usualOptimization = "-O2"

// result is what the verifier printed.
type result struct {
	errors    int
	states    int
	truncated bool
	output    string
}

var (
	errorsPattern = regexp.MustCompile(`errors: (\d+)`)
	statesPattern = regexp.MustCompile(`(\d+(?:\.\d+)?(?:e\+\d+)?) states, stored`)
)

// verify checks a model exhaustively, or until the first violation.
func verify(t *testing.T, r run) result {
	t.Helper()
	g := NewWithT(t)
	if _, err := exec.LookPath("spin"); err != nil {
		t.Fatal("spin is not installed; run make tools")
	}
	dir := t.TempDir()
	model, err := filepath.Abs(r.model)
	g.Expect(err).NotTo(HaveOccurred())
	command(t, dir, "spin", append(prefixed("-D", r.defines), "-a", model)...)
	compile := []string{cmp.Or(r.optimization, usualOptimization), "-w", "-DSAFETY", "-DMEMLIM=4096"}
	compile = append(compile, prefixed("-D", r.panOptions)...)
	command(t, dir, "gcc", append(compile, "-o", "pan", "pan.c")...)
	output := command(t, dir, "./pan", "-m"+strconv.Itoa(r.depth))
	return parse(t, output)
}

func prefixed(prefix string, values []string) []string {
	out := make([]string, len(values))
	for i, value := range values {
		out[i] = prefix + value
	}
	return out
}

func command(t *testing.T, dir, name string, args ...string) string {
	t.Helper()
	cmd := exec.Command(name, args...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%s %s: %v\n%s", name, strings.Join(args, " "), err, out)
	}
	return string(out)
}

func parse(t *testing.T, output string) result {
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
	truncated := strings.Contains(output, "max search depth too small") || strings.Contains(output, "Search not completed")
	return result{errors: count, states: int(states), truncated: truncated, output: output}
}

// expectHolds checks that the model has no violation in its whole state space.
func expectHolds(t *testing.T, r run) {
	t.Helper()
	got := verify(t, r)
	t.Logf("%s %v: %d states, %d errors", r.model, r.defines, got.states, got.errors)
	g := NewWithT(t)
	g.Expect(got.errors).To(BeZero(), got.output)
	g.Expect(got.truncated).To(BeFalse(), got.output)
}

// expectRefuted checks that a model with a rule removed has a violation.
func expectRefuted(t *testing.T, r run) {
	t.Helper()
	got := verify(t, r)
	t.Logf("%s %v: %d states, %d errors", r.model, r.defines, got.states, got.errors)
	NewWithT(t).Expect(got.errors).NotTo(BeZero(), got.output)
}
