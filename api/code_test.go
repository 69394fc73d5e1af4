package api_test

import (
	"fmt"
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
)

func TestCodesAscendAndMatchDocumentation(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../docs/RESULT-CODES.md")
	g.Expect(err).NotTo(HaveOccurred())
	last := api.Code(-1)
	for _, info := range api.Codes {
		g.Expect(info.Code).To(BeNumerically(">", last))
		last = info.Code
		row := fmt.Sprintf("| %d | `%s` | %d | %d | %s |\n", info.Code, info.Name, info.HTTPStatus, info.ExitCode, info.Meaning)
		g.Expect(string(page)).To(ContainSubstring(row))
	}
}

func TestUnlistedCodeIsInternal(t *testing.T) {
	NewWithT(t).Expect(api.Code(9999).String()).To(Equal("internal"))
}
