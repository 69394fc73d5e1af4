package main

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func TestSettingsReferenceIsUpToDate(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	g.Expect(run(&out, "../../settings")).To(Succeed())
	page, err := os.ReadFile("../../../docs/operations/settings.md")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(page)).To(Equal(out.String()), "run make docs")
}
