package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const failing = `{"Action":"output","Package":"p","Test":"TestA","Output":"boom\n"}
{"Action":"fail","Package":"p","Test":"TestA"}
{"Action":"pass","Package":"p","Test":"TestB"}
{"Action":"fail","Package":"p"}
`

func TestUnlistedFailureFails(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	g.Expect(run(strings.NewReader(failing), &out, "no-such-file")).NotTo(Succeed())
	g.Expect(out.String()).To(ContainSubstring("FAIL: p/TestA\nboom\n"))
	g.Expect(out.String()).To(ContainSubstring("1 passed, 2 failed, 0 skipped"))
}

func TestListedFailurePasses(t *testing.T) {
	g := NewWithT(t)
	known := filepath.Join(t.TempDir(), "known")
	g.Expect(os.WriteFile(known, []byte("# comment\np/TestA | go test p | 1 | boom | 9\n"), 0o644)).To(Succeed())
	var out strings.Builder
	g.Expect(run(strings.NewReader(failing), &out, known)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("KNOWN RED: p/TestA"))
}

func TestRunWithoutTestsFails(t *testing.T) {
	var out strings.Builder
	NewWithT(t).Expect(run(strings.NewReader(""), &out, "no-such-file")).NotTo(Succeed())
}
