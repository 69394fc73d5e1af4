// Package operations runs the operators' walk-through word for word.
package operations

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/test/testbed"
)

// patience bounds the whole page; only a command that hangs reaches it.
const patience = 3 * time.Minute

// step is a shell block of the page with the lines that its output has to hold.
type step struct {
	script string
	expect []string
}

func TestWalkthrough(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/operations/walkthrough.md")
	g.Expect(err).NotTo(HaveOccurred())
	steps := parse(string(page))
	g.Expect(steps).NotTo(BeEmpty())
	release := reservePorts(g)
	defer release()
	root := prepare(g, t.TempDir())
	output := runScript(g, root, steps)
	parts := strings.Split(output, marker)
	g.Expect(parts).To(HaveLen(len(steps)+1), output)
	for i, step := range steps {
		rest := parts[i]
		for _, line := range step.expect {
			at := strings.Index(rest, line)
			g.Expect(at).To(BeNumerically(">=", 0), "after %q: no %q in:\n%s", step.script, line, parts[i])
			rest = rest[at+len(line):]
		}
	}
}

const marker = "=== next step ===\n"

// pageLock stands for the fixed ports of the page: two runs of the page on one
// host go one after the other.
const pageLock = "127.0.0.2:9100"

func reservePorts(g *WithT) (release func()) {
	var listener net.Listener
	g.Expect(testbed.Eventually(func() (err error) {
		listener, err = net.Listen("tcp", pageLock)
		return err
	})).To(Succeed())
	return func() { _ = listener.Close() }
}

// parse returns the shell blocks with the text block that follows each.
func parse(page string) []step {
	var steps []step
	for block := range strings.SplitSeq(page, "\n```") {
		kind, body, _ := strings.Cut(block, "\n")
		switch kind {
		case "sh":
			steps = append(steps, step{script: body})
		case "text":
			last := &steps[len(steps)-1]
			last.expect = strings.Split(body, "\n")
		}
	}
	return steps
}

// prepare makes a folder that looks like the root of the repository.
func prepare(g *WithT, dir string) string {
	root, err := filepath.Abs("../..")
	g.Expect(err).NotTo(HaveOccurred())
	for _, name := range []string{"examples", "Makefile", "go.mod", "go.sum", "cmd", "internal", "api"} {
		g.Expect(os.Symlink(filepath.Join(root, name), filepath.Join(dir, name))).To(Succeed())
	}
	return dir
}

// runScript runs all blocks in one shell and ends what they leave behind.
func runScript(g *WithT, dir string, steps []step) string {
	var script strings.Builder
	script.WriteString("set -eu\n")
	for _, step := range steps {
		fmt.Fprintf(&script, "%s\nprintf %%s '%s'\n", step.script, marker)
	}
	cmd := exec.Command("bash", "-c", script.String())
	cmd.Dir = dir
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	timer := time.AfterFunc(patience, func() { _ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) })
	defer timer.Stop()
	out, err := cmd.CombinedOutput()
	_ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL)
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	return string(out)
}
