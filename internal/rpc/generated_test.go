package rpc_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

// TestGeneratedCodeIsCurrent checks that the committed *.pb.go files match the .proto
// files: it runs the generator into a temporary directory and compares the files.
func TestGeneratedCodeIsCurrent(t *testing.T) {
	if _, err := exec.LookPath("protoc"); err != nil {
		t.Skip("protoc is not installed")
	}
	g := NewWithT(t)
	files, err := filepath.Glob("*pb/*.pb.go")
	g.Expect(err).NotTo(HaveOccurred())
	committed := make(map[string]string, len(files))
	for _, file := range files {
		raw, err := os.ReadFile(file)
		g.Expect(err).NotTo(HaveOccurred())
		committed[file] = string(raw)
	}
	out := t.TempDir()
	output, err := exec.Command("./generate.sh", out).CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(output))
	for file, want := range committed {
		raw, err := os.ReadFile(filepath.Join(out, file))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(raw)).To(Equal(want), file)
	}
}
