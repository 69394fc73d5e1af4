// Command regress plays the days of deploy/regression.txt and the seeds of deploy/seeds.txt
// with the users' bench, and prints a row for each day beside the newest committed journal
// entry of the same day and seed. It exits with status 1 if a day breaks a rule, cannot be
// played, or has lost more than 0.03 of its worth in two runs in a row.
package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

const (
	// maxWorthLoss is the loss of worth up to which two runs count as equal: the variation
	// between runs of the same code, by the bench's pages.
	maxWorthLoss = 0.03
	journalDir   = "journal"
)

func main() {
	bench := flag.String("bench", "", "path of the users' bench program")
	lists := flag.String("lists", "deploy/regression.txt,deploy/seeds.txt", "files that list the days, separated by commas")
	flag.Usage = func() {
		fmt.Fprintln(flag.CommandLine.Output(), "usage: regress -bench PROGRAM SITE-FOLDER...")
		flag.PrintDefaults()
	}
	flag.Parse()
	if *bench == "" || flag.NArg() == 0 {
		flag.Usage()
		os.Exit(2)
	}
	r := &runner{bench: *bench, folders: flag.Args(), out: os.Stdout}
	if err := r.runLists(context.Background(), strings.Split(*lists, ",")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runner plays days one after the other.
type runner struct {
	bench   string
	folders []string
	out     io.Writer
	// committed holds the newest committed result of each day.
	committed map[dayKey]*dayResult
}

// runLists plays the days of all lists. The error names the days that failed.
func (r *runner) runLists(ctx context.Context, lists []string) error {
	var err error
	if r.committed, err = loadCommitted(ctx); err != nil {
		return err
	}
	var failed []string
	fmt.Fprintln(r.out, "| site | day | seed | worth | before | served | refused | failed | broken rules |")
	fmt.Fprintln(r.out, "|---|---|---|---|---|---|---|---|---|")
	for _, list := range lists {
		days, err := readDays(list)
		if err != nil {
			return err
		}
		for _, d := range days {
			if reason := r.check(ctx, d); reason != "" {
				failed = append(failed, fmt.Sprintf("%s %s: %s", d.site, d.day, reason))
			}
		}
	}
	if len(failed) > 0 {
		return errors.Errorf("%d days failed:\n%s", len(failed), strings.Join(failed, "\n"))
	}
	return nil
}

// check plays a day, a second time if it has lost worth, and returns why it failed, or "".
func (r *runner) check(ctx context.Context, d listedDay) string {
	for attempt := 1; ; attempt++ {
		result, err := r.play(ctx, d)
		if err != nil {
			fmt.Fprintf(r.out, "| %s | %s | %s | not played: %v |\n", d.site, d.day, d.seed, err)
			return err.Error()
		}
		before := r.committed[result.key()]
		fmt.Fprintln(r.out, result.row(before))
		switch {
		case len(result.Rules) > 0:
			return "broke " + result.brokenRules()
		case before == nil || result.Worth >= before.Worth-maxWorthLoss:
			return ""
		case attempt == 2:
			return fmt.Sprintf("worth %.3f after %.3f, twice in a row", result.Worth, before.Worth)
		}
	}
}

// play plays a day and returns its result from the journal entry that the run adds.
func (r *runner) play(ctx context.Context, d listedDay) (*dayResult, error) {
	site := ""
	for _, folder := range r.folders {
		if path := filepath.Join(folder, d.site+".toml"); fileExists(path) {
			site = path
		}
	}
	if site == "" {
		return nil, errors.Errorf("no folder contains %s.toml", d.site)
	}
	before, err := journalFiles()
	if err != nil {
		return nil, err
	}
	arguments := append([]string{"run", site}, strings.Fields(d.day)...)
	if d.seed != "" {
		arguments = append(arguments, "--seed", d.seed)
	}
	arguments = append(arguments, "--why", "regression run")
	output, runErr := exec.CommandContext(ctx, r.bench, arguments...).CombinedOutput()
	after, err := journalFiles()
	if err != nil {
		return nil, err
	}
	for path := range after {
		if before[path] {
			continue
		}
		entry, err := readEntry(path)
		if err != nil {
			return nil, err
		}
		if entry.Site == d.site && len(entry.Days) == 1 {
			return entry.result(0), nil
		}
	}
	return nil, errors.Errorf("the bench wrote no result (%v): %s", runErr, lastLine(output))
}

func fileExists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

func lastLine(output []byte) string {
	lines := strings.Split(strings.TrimSpace(string(output)), "\n")
	return lines[len(lines)-1]
}

// listedDay is a line of a list: "site | day and options | seed | ...". An empty seed selects
// the day's own.
type listedDay struct{ site, day, seed string }

func readDays(path string) ([]listedDay, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "read a list of days")
	}
	defer func() { _ = file.Close() }()
	var out []listedDay
	lines := bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Split(line, "|")
		if len(fields) < 2 || strings.TrimSpace(fields[1]) == "" {
			return nil, errors.Errorf("%s:%d: expected \"site | day\" or \"site | day | seed | ...\"", path, number)
		}
		d := listedDay{site: strings.TrimSpace(fields[0]), day: strings.TrimSpace(fields[1])}
		if len(fields) > 2 {
			d.seed = strings.TrimSpace(fields[2])
		}
		out = append(out, d)
	}
	return out, errors.Wrap(lines.Err(), "read a list of days")
}
