package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// entry is the part of a journal entry that this program reads.
type entry struct {
	Command string      `json:"cmd"`
	Site    string      `json:"site"`
	Args    []string    `json:"argv"`
	Days    []dayResult `json:"days"`
}

// dayResult is the result of a day.
type dayResult struct {
	Name    string         `json:"name"`
	Seed    int64          `json:"seed"`
	Worth   float64        `json:"G"`
	Served  float64        `json:"served"`
	Refused float64        `json:"refused"`
	Failed  float64        `json:"failed"`
	Rules   map[string]int `json:"rules"`

	site  string
	small bool
}

// dayKey identifies days whose worth can be compared.
type dayKey struct {
	site, name string
	seed       int64
	small      bool
}

func (d *dayResult) key() dayKey { return dayKey{d.site, d.Name, d.Seed, d.small} }

// result returns the result of the i-th day with the entry's data.
func (e *entry) result(i int) *dayResult {
	out := e.Days[i]
	out.site, out.small = e.Site, slices.Contains(e.Args, "--small")
	return &out
}

// isWhole reports whether the entry's days were played to the end with processor time.
func (e *entry) isWhole() bool {
	return !slices.Contains(e.Args, "--until") && !slices.Contains(e.Args, "--no-cpu")
}

// row returns the table row of a result. before is the result to compare with, or nil.
func (d *dayResult) row(before *dayResult) string {
	earlier := "none"
	if before != nil {
		earlier = fmt.Sprintf("%.3f", before.Worth)
	}
	return fmt.Sprintf("| %s | %s | %d | %.3f | %s | %.3f | %.3f | %.3f | %s |",
		d.site, d.Name, d.Seed, d.Worth, earlier, d.Served, d.Refused, d.Failed, d.brokenRules())
}

// brokenRules returns the broken rules with how often each was broken.
func (d *dayResult) brokenRules() string {
	var out []string
	for rule, count := range d.Rules {
		out = append(out, fmt.Sprintf("%s %d", rule, count))
	}
	if len(out) == 0 {
		return "none"
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

func readEntry(path string) (*entry, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read a journal entry")
	}
	return decodeEntry(path, raw)
}

func decodeEntry(path string, raw []byte) (*entry, error) {
	e := &entry{}
	if err := json.Unmarshal(raw, e); err != nil {
		return nil, errors.Wrapf(err, "decode journal entry %s", path)
	}
	return e, nil
}

// journalFiles returns the paths of all journal entries.
func journalFiles() (map[string]bool, error) {
	paths, err := filepath.Glob(filepath.Join(journalDir, "*.json"))
	out := make(map[string]bool, len(paths))
	for _, path := range paths {
		out[path] = true
	}
	return out, errors.Wrap(err, "list the journal")
}

// loadCommitted returns the newest committed result of each day.
func loadCommitted(ctx context.Context) (map[dayKey]*dayResult, error) {
	listed, err := exec.CommandContext(ctx, "git", "ls-tree", "--name-only", "HEAD", journalDir+"/").Output()
	if err != nil {
		return nil, errors.Wrap(err, "list the committed journal")
	}
	paths := strings.Fields(string(listed))
	// The names begin with the time.
	slices.Sort(paths)
	out := make(map[dayKey]*dayResult)
	for _, path := range paths {
		if !strings.HasSuffix(path, ".json") || !fileExists(path) {
			continue
		}
		e, err := readEntry(path)
		if err != nil {
			return nil, err
		}
		addResults(out, e)
	}
	return out, nil
}

// addResults adds the results of an entry, which replace earlier ones of the same days.
func addResults(results map[dayKey]*dayResult, e *entry) {
	if !e.isWhole() {
		return
	}
	for i := range e.Days {
		d := e.result(i)
		results[d.key()] = d
	}
}
