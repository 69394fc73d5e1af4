// Package promises checks the page of promises and their tests: each row must name commands
// that exist, or be marked as not proved with a reason.
package promises

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// NotProved marks a promise without a test; it starts the command column of the row.
const NotProved = "not proved"

// Row is the row of one promise, with its line number in the page.
type Row struct {
	Line         int
	Promise      string
	Command      string
	Seed         string
	Figure       string
	FailingFirst string
}

// columns are the columns of the page's tables, in order.
var columns = []string{"promise", "command", "seed", "figure", "failing first"}

// Parse returns the rows of all tables, and an error for each table with unexpected columns
// and each row with a wrong number of cells.
func Parse(page string) (rows []Row, errs []error) {
	inTable := false
	number := 0
	for line := range strings.Lines(page) {
		number++
		cells := splitRow(line)
		switch {
		case cells == nil:
			inTable = false
		case !inTable:
			inTable = true
			if !isHeader(cells) {
				errs = append(errs, errors.Errorf("line %d: the table does not have the columns %q", number, columns))
			}
		case isSeparator(cells):
		case len(cells) != len(columns):
			errs = append(errs, errors.Errorf("line %d: the row has %d cells instead of %d", number, len(cells), len(columns)))
		default:
			rows = append(rows, Row{
				Line: number, Promise: cells[0], Command: cells[1], Seed: cells[2], Figure: cells[3], FailingFirst: cells[4],
			})
		}
	}
	return rows, errs
}

// splitRow returns the cells of a line of a table, or nil if the line is not part of a table.
// A vertical bar inside a cell is written \|.
func splitRow(line string) []string {
	line = strings.TrimSpace(line)
	if !strings.HasPrefix(line, "|") || !strings.HasSuffix(line, "|") || len(line) < 2 {
		return nil
	}
	const placeholder = "\x00"
	line = strings.ReplaceAll(line[1:len(line)-1], `\|`, placeholder)
	cells := strings.Split(line, "|")
	for i, cell := range cells {
		cells[i] = strings.TrimSpace(strings.ReplaceAll(cell, placeholder, "|"))
	}
	return cells
}

func isHeader(cells []string) bool {
	return slices.EqualFunc(cells, columns, strings.EqualFold)
}

// isSeparator reports whether the cells are the line between a table's header and its rows.
func isSeparator(cells []string) bool { return strings.Trim(strings.Join(cells, ""), "-: ") == "" }

// Checker checks commands against a repository.
type Checker struct {
	// Root is the root directory of the repository.
	Root string
	// Commands lists the names of the product's commands.
	Commands []string
}

// Check returns an error for each fault of the page, with the line number.
func (c *Checker) Check(page string) []error {
	rows, errs := Parse(page)
	for _, row := range rows {
		if err := c.checkRow(row); err != nil {
			errs = append(errs, errors.Wrapf(err, "line %d: %s", row.Line, row.Promise))
		}
	}
	return errs
}

var codeSpan = regexp.MustCompile("`([^`]+)`")

func (c *Checker) checkRow(row Row) error {
	if strings.HasPrefix(strings.ToLower(row.Command), NotProved) {
		return checkReason(row)
	}
	spans := codeSpan.FindAllStringSubmatch(row.Command, -1)
	if len(spans) == 0 {
		return errors.Errorf("no command in backquotes and not %q", NotProved)
	}
	if row.Figure == "" {
		return errors.New("the row has no figure")
	}
	for _, span := range spans {
		if err := c.checkCommand(strings.Fields(span[1])); err != nil {
			return errors.Wrap(err, span[1])
		}
	}
	return nil
}

// checkReason returns an error unless there is a reason after "not proved" or in the figure
// column.
func checkReason(row Row) error {
	reason := strings.Trim(row.Command[len(NotProved):]+row.Figure, " :;,.-")
	if reason == "" {
		return errors.Errorf("%s, but no reason is given", NotProved)
	}
	return nil
}

func (c *Checker) checkCommand(words []string) error {
	name := filepath.Base(words[0])
	switch {
	case name == "go" && len(words) > 1 && words[1] == "test":
		return c.checkGoTest(words[2:])
	case name == "make":
		return c.checkMake(words[1:])
	case name == "peridotwinch" && len(words) > 1:
		if !slices.Contains(c.Commands, words[1]) {
			return errors.Errorf("peridotwinch has no command %q", words[1])
		}
		return nil
	}
	return errors.New("neither go test, make nor a command of peridotwinch")
}

func (c *Checker) checkMake(targets []string) error {
	raw, err := os.ReadFile(filepath.Join(c.Root, "Makefile"))
	if err != nil {
		return errors.Wrap(err, "read the Makefile")
	}
	for _, target := range targets {
		if strings.Contains(target, "=") {
			continue
		}
		if !regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(target) + `:`).Match(raw) {
			return errors.Errorf("the Makefile has no target %q", target)
		}
	}
	return nil
}

// goTest is the selection of a `go test` command.
type goTest struct {
	packages []string
	// run, bench and fuzz are the patterns of the flags with these names.
	run, bench, fuzz string
}

func parseGoTest(words []string) goTest {
	out := goTest{}
	flags := map[string]*string{"run": &out.run, "bench": &out.bench, "fuzz": &out.fuzz}
	for i := 0; i < len(words); i++ {
		word := words[i]
		if word == "-args" {
			break
		}
		if strings.HasPrefix(word, "./") || word == "." {
			out.packages = append(out.packages, word)
			continue
		}
		name, value, joined := strings.Cut(strings.TrimLeft(word, "-"), "=")
		target := flags[name]
		if target == nil || !strings.HasPrefix(word, "-") {
			continue
		}
		if !joined && i+1 < len(words) {
			i++
			value = words[i]
		}
		*target = strings.Trim(value, `'"`)
	}
	return out
}

func (c *Checker) checkGoTest(words []string) error {
	selected := parseGoTest(words)
	if len(selected.packages) == 0 {
		return errors.New("no package is given")
	}
	names, err := c.testFunctions(selected.packages)
	if err != nil {
		return err
	}
	if len(names) == 0 {
		return errors.New("the packages have no tests")
	}
	if err := requireMatch(names, "Test", selected.run); err != nil {
		return err
	}
	if err := requireMatch(names, "Benchmark", selected.bench); err != nil {
		return err
	}
	if err := requireMatch(names, "Fuzz", selected.fuzz); err != nil {
		return err
	}
	return c.checkScript(selected)
}

// requireMatch returns an error unless a function matches each alternative of the pattern:
// `A|B` without a function for B would silently run less than the page states.
func requireMatch(names []string, prefix, pattern string) error {
	if pattern == "" || (prefix == "Test" && pattern == "^$") {
		return nil
	}
	top, _, _ := strings.Cut(pattern, "/")
	for alternative := range strings.SplitSeq(strings.Trim(top, "()"), "|") {
		compiled, err := regexp.Compile(alternative)
		if err != nil {
			return errors.Wrap(err, "pattern")
		}
		matches := func(name string) bool { return strings.HasPrefix(name, prefix) && compiled.MatchString(name) }
		if !slices.ContainsFunc(names, matches) {
			return errors.Errorf("no %s function matches %q", prefix, alternative)
		}
	}
	return nil
}

// checkScript returns an error if the command selects a scenario whose script does not exist.
func (c *Checker) checkScript(selected goTest) error {
	top, script, found := strings.Cut(selected.run, "/")
	if !found || strings.Trim(top, "^$") != "TestScenarios" {
		return nil
	}
	script = strings.Trim(script, "^$")
	for _, pkg := range selected.packages {
		matches, _ := filepath.Glob(filepath.Join(c.Root, pkg, script+"*.txtar"))
		if len(matches) > 0 {
			return nil
		}
	}
	return errors.Errorf("no script %s.txtar", script)
}

// testFunctions returns the names of all functions in the packages' test files.
func (c *Checker) testFunctions(packages []string) ([]string, error) {
	var names []string
	for _, pkg := range packages {
		files, err := c.testFiles(pkg)
		if err != nil {
			return nil, err
		}
		for _, file := range files {
			parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
			if err != nil {
				return nil, errors.Wrap(err, "parse a test file")
			}
			names = append(names, functions(parsed)...)
		}
	}
	return names, nil
}

func (c *Checker) testFiles(pkg string) ([]string, error) {
	base, recursive := strings.CutSuffix(pkg, "...")
	dir := filepath.Join(c.Root, base)
	if _, err := os.Stat(dir); err != nil {
		return nil, errors.Errorf("no package %s", pkg)
	}
	if !recursive {
		return filepath.Glob(filepath.Join(dir, "*_test.go"))
	}
	var files []string
	err := filepath.WalkDir(dir, func(path string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, "_test.go") {
			files = append(files, path)
		}
		return err
	})
	return files, errors.Wrapf(err, "walk %s", pkg)
}

func functions(file *ast.File) []string {
	var names []string
	for _, declaration := range file.Decls {
		if function, ok := declaration.(*ast.FuncDecl); ok && function.Recv == nil {
			names = append(names, function.Name.Name)
		}
	}
	return names
}
