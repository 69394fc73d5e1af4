package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

// fakeBench writes journal entries with the worths of the file "worths", a line a run.
const fakeBench = `#!/bin/sh
n=$(ls journal | wc -l)
worth=$(sed -n "$((n+1))p" worths)
rules=$(cat rules)
printf '{"cmd":"run","site":"site-a","argv":[],"days":[{"name":"day-1","seed":7,"G":%s,"rules":{%s}}]}' "$worth" "$rules" >journal/$n.json
`

// newRunner returns a runner in an empty folder, whose bench plays days of the given worths.
func newRunner(t *testing.T, worths, rules string) (*runner, *bytes.Buffer) {
	g := NewWithT(t)
	t.Chdir(t.TempDir())
	for name, content := range map[string]string{"worths": worths, "rules": rules, "site-a.toml": "", "bench": fakeBench} {
		g.Expect(os.WriteFile(name, []byte(content), 0o755)).To(Succeed())
	}
	g.Expect(os.Mkdir(journalDir, 0o755)).To(Succeed())
	out := &bytes.Buffer{}
	path, err := filepath.Abs("bench")
	g.Expect(err).NotTo(HaveOccurred())
	before := &dayResult{Name: "day-1", Seed: 7, Worth: 0.7, site: "site-a"}
	return &runner{bench: path, folders: []string{"."}, out: out, committed: map[dayKey]*dayResult{before.key(): before}}, out
}

var testDay = listedDay{site: "site-a", day: "day-1"}

func TestDayOfEqualWorthPasses(t *testing.T) {
	g := NewWithT(t)
	r, out := newRunner(t, "0.68\n", "")
	g.Expect(r.check(context.Background(), testDay)).To(BeEmpty())
	g.Expect(out.String()).To(Equal("| site-a | day-1 | 7 | 0.680 | 0.700 | 0.000 | 0.000 | 0.000 | none |\n"))
}

func TestWorthMustFallTwiceInARow(t *testing.T) {
	g := NewWithT(t)
	r, _ := newRunner(t, "0.60\n0.69\n", "")
	g.Expect(r.check(context.Background(), testDay)).To(BeEmpty())
	r, _ = newRunner(t, "0.60\n0.66\n", "")
	g.Expect(r.check(context.Background(), testDay)).To(Equal("worth 0.660 after 0.700, twice in a row"))
}

func TestBrokenRuleFails(t *testing.T) {
	g := NewWithT(t)
	r, _ := newRunner(t, "0.90\n", `"CONFIG":2`)
	g.Expect(r.check(context.Background(), testDay)).To(Equal("broke CONFIG 2"))
}

func TestDayThatIsNotPlayedFails(t *testing.T) {
	g := NewWithT(t)
	r, _ := newRunner(t, "", "")
	g.Expect(r.check(context.Background(), listedDay{site: "site-b", day: "day-1"})).To(Equal("no folder contains site-b.toml"))
}

func TestListsAreRead(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "list.txt")
	g.Expect(os.WriteFile(path, []byte("# comment\nsite-a | day-1\nsite-b | file.toml --vary | 12 | CONFIG | cause\n"), 0o600)).To(Succeed())
	g.Expect(readDays(path)).To(Equal([]listedDay{{"site-a", "day-1", ""}, {"site-b", "file.toml --vary", "12"}}))
	g.Expect(os.WriteFile(path, []byte("site-a\n"), 0o600)).To(Succeed())
	_, err := readDays(path)
	g.Expect(err).To(MatchError(ContainSubstring(`list.txt:1: expected "site | day"`)))
}

func TestPartialRunsAreNotCompared(t *testing.T) {
	g := NewWithT(t)
	results := make(map[dayKey]*dayResult)
	e, err := decodeEntry("a.json", []byte(`{"site":"site-a","argv":["--until","37"],"days":[{"name":"day-1","seed":7,"G":0.1}]}`))
	g.Expect(err).NotTo(HaveOccurred())
	addResults(results, e)
	g.Expect(results).To(BeEmpty())
}
