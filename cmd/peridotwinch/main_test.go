package main_test

import (
	"os/exec"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

func TestBinaryIsLinkedWithCLibrary(t *testing.T) {
	g := NewWithT(t)
	binary := filepath.Join(t.TempDir(), "peridotwinch")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	out, err = exec.Command("ldd", binary).CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	g.Expect(string(out)).To(ContainSubstring("libc.so"))
}
