package rpc_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

// TestGeneratedCodeIsCurrent runs the generator on a copy and compares.
func TestGeneratedCodeIsCurrent(t *testing.T) {
	if _, err := exec.LookPath("protoc"); err != nil {
		t.Skip("protoc is not installed")
	}
	g := NewWithT(t)
	files, err := filepath.Glob("*pb/*.pb.go")
	g.Expect(err).NotTo(HaveOccurred())
	before := make(map[string]string, len(files))
	for _, file := range files {
		raw, err := os.ReadFile(file)
		g.Expect(err).NotTo(HaveOccurred())
		before[file] = string(raw)
	}
	out := t.TempDir()
	log, err := exec.Command("./generate.sh", out).CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(log))
	for file, committed := range before {
		raw, err := os.ReadFile(filepath.Join(out, file))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(raw)).To(Equal(committed), file)
	}
}
