// Command testreport reads the output of `go test -json` from standard input and prints the
// failed tests and a summary. It exits with status 1 if a failed test is not listed in
// KNOWN-RED.txt or no test passed.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// event is one line of `go test -json`.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// report collects the results of a run.
type report struct {
	known   map[string]string
	outputs map[string][]string
	passed  int
	skipped int
	failed  []string
}

func main() {
	knownPath := flag.String("known", "KNOWN-RED.txt", "list of known failures")
	flag.Parse()
	if err := run(os.Stdin, os.Stdout, *knownPath); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer, knownPath string) error {
	known, err := readKnown(knownPath)
	if err != nil {
		return err
	}
	r := &report{known: known, outputs: make(map[string][]string)}
	if err := r.read(in); err != nil {
		return err
	}
	return r.print(out)
}

// readKnown reads entries "PACKAGE/TEST | command | seed | seen | issue" and returns the lines
// by test name. Lines that start with # are comments; a missing file has no entries.
func readKnown(path string) (map[string]string, error) {
	known := make(map[string]string)
	raw, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return known, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read the known failures")
	}
	for line := range strings.Lines(string(raw)) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, _, _ := strings.Cut(line, "|")
		known[strings.TrimSpace(name)] = line
	}
	return known, nil
}

func (r *report) read(in io.Reader) error {
	decoder := json.NewDecoder(bufio.NewReader(in))
	for {
		e := event{}
		err := decoder.Decode(&e)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read the test events")
		}
		r.add(e)
	}
}

func (r *report) add(e event) {
	name := e.Package
	if e.Test != "" {
		name += "/" + e.Test
	}
	switch e.Action {
	case "output", "build-output":
		r.outputs[name] = append(r.outputs[name], e.Output)
	case "pass":
		if e.Test != "" {
			r.passed++
		}
		delete(r.outputs, name)
	case "skip":
		if e.Test != "" {
			r.skipped++
		}
	case "fail", "build-fail":
		r.failed = append(r.failed, name)
	}
}

func (r *report) print(out io.Writer) error {
	unknown := 0
	for _, name := range r.failed {
		if line, ok := r.known[name]; ok {
			fmt.Fprintf(out, "KNOWN RED: %s\n", line)
			continue
		}
		if r.onlySubtestsFailed(name) {
			continue
		}
		unknown++
		fmt.Fprintf(out, "FAIL: %s\n%s", name, strings.Join(r.outputs[name], ""))
	}
	fmt.Fprintf(out, "%d passed, %d failed, %d skipped\n", r.passed, len(r.failed), r.skipped)
	if unknown > 0 {
		return errors.Errorf("%d failures that KNOWN-RED.txt does not list", unknown)
	}
	if r.passed == 0 {
		return errors.New("no test ran")
	}
	return nil
}

// onlySubtestsFailed reports whether a failed package or parent test has failed tests below it,
// which are reported themselves.
func (r *report) onlySubtestsFailed(name string) bool {
	found := false
	for _, other := range r.failed {
		found = found || strings.HasPrefix(other, name+"/")
	}
	return found
}
