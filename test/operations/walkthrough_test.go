// Package operations runs the operators' walk-through as the page shows it.
package operations

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// scriptTimeout limits the whole page; only a command that hangs reaches it.
const scriptTimeout = 3 * time.Minute

// scriptStep is a shell block of the page and the lines that its output must
// contain in this order.
type scriptStep struct {
	script    string
	wantLines []string
}

// TestWalkthrough guards against a walk-through page whose commands or outputs no
// longer match the product. It runs the page's shell blocks in one shell and checks
// that the output of each contains the lines of the text block that follows it.
func TestWalkthrough(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/operations/walkthrough.md")
	g.Expect(err).NotTo(HaveOccurred())
	prefix := freePortPrefix(g)
	steps := parseSteps(pagePortPattern.ReplaceAllString(string(page), prefix+"${1}"))
	g.Expect(steps).NotTo(BeEmpty())
	root := prepareRoot(g, t.TempDir(), prefix)
	output := runScript(g, root, steps)
	outputs := strings.Split(output, stepMarker)
	g.Expect(outputs).To(HaveLen(len(steps)+1), output)
	for i, step := range steps {
		rest := outputs[i]
		for _, line := range step.wantLines {
			index := strings.Index(rest, line)
			g.Expect(index).To(BeNumerically(">=", 0), "output of %q: line %q is missing or out of order in:\n%s", step.script, line, outputs[i])
			rest = rest[index+len(line):]
		}
	}
}

// stepMarker separates the outputs of the steps.
const stepMarker = "=== next step ===\n"

// pagePortPattern matches the ports of the page and its inventory.
var pagePortPattern = regexp.MustCompile(`\b91(\d\d)\b`)

// portsPerBlock is the number of ports, from its first one, that the page may use.
const portsPerBlock = 100

// freePortPrefix returns the digits that replace the page's 91, so that concurrent
// runs of the page on one host do not conflict.
func freePortPrefix(g *WithT) string {
	for prefix := firstPortPrefix; prefix <= lastPortPrefix; prefix++ {
		if reservePorts(prefix * portsPerBlock) {
			return strconv.Itoa(prefix)
		}
	}
	g.Expect(false).To(BeTrue(), "no free block of ports")
	return ""
}

// Prefixes of ports that no other test uses.
const (
	firstPortPrefix = 301
	lastPortPrefix  = 326
)

// reservePorts reserves a block of ports for the lifetime of this process by a
// listener on a second loopback address. It returns false if the block or one of
// its ports is in use.
func reservePorts(first int) bool {
	_, err := net.Listen("tcp", fmt.Sprintf("127.0.0.2:%d", first))
	if err != nil {
		return false
	}
	for port := first; port < first+portsPerBlock; port++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// parseSteps returns the shell blocks of a page, each with the lines of the text
// block that follows it.
func parseSteps(page string) []scriptStep {
	var steps []scriptStep
	for block := range strings.SplitSeq(page, "\n```") {
		kind, body, _ := strings.Cut(block, "\n")
		switch kind {
		case "sh":
			steps = append(steps, scriptStep{script: body})
		case "text":
			last := &steps[len(steps)-1]
			last.wantLines = strings.Split(body, "\n")
		}
	}
	return steps
}

// prepareRoot fills a folder with the parts of the repository's root that the page uses.
func prepareRoot(g *WithT, dir, prefix string) string {
	root, err := filepath.Abs("../..")
	g.Expect(err).NotTo(HaveOccurred())
	copyExamples(g, filepath.Join(root, examplesDir), filepath.Join(dir, examplesDir), prefix)
	for _, name := range []string{"Makefile", "go.mod", "go.sum", "cmd", "platform", "internal", "api"} {
		g.Expect(os.Symlink(filepath.Join(root, name), filepath.Join(dir, name))).To(Succeed())
	}
	return dir
}

// examplesDir is the folder of the page's inventory and resources.
const examplesDir = "examples/seven-instances"

// copyExamples copies the examples with the ports of the page replaced.
func copyExamples(g *WithT, from, to, prefix string) {
	g.Expect(os.MkdirAll(to, 0o755)).To(Succeed())
	entries, err := os.ReadDir(from)
	g.Expect(err).NotTo(HaveOccurred())
	for _, entry := range entries {
		raw, err := os.ReadFile(filepath.Join(from, entry.Name()))
		g.Expect(err).NotTo(HaveOccurred())
		raw = pagePortPattern.ReplaceAll(raw, []byte(prefix+"${1}"))
		g.Expect(os.WriteFile(filepath.Join(to, entry.Name()), raw, 0o644)).To(Succeed())
	}
}

// runScript runs all blocks in one shell, kills the processes that they leave
// behind, and returns the output.
func runScript(g *WithT, dir string, steps []scriptStep) string {
	var script strings.Builder
	script.WriteString("set -eu\n")
	for _, step := range steps {
		fmt.Fprintf(&script, "%s\nprintf %%s '%s'\n", step.script, stepMarker)
	}
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, "bash", "-c", script.String())
	cmd.Dir = dir
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	out, err := cmd.CombinedOutput()
	_ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL)
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	return string(out)
}
