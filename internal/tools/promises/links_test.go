package promises_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

var link = regexp.MustCompile(`\]\(([^)#]+)[^)]*\)`)

// TestRelativeLinksInPagesResolve checks that the target file of every relative link exists,
// in all pages under docs, the README and the contributing guide.
func TestRelativeLinksInPagesResolve(t *testing.T) {
	g := NewWithT(t)
	var pages []string
	g.Expect(filepath.WalkDir(root+"/docs", func(path string, entry fs.DirEntry, err error) error {
		if err == nil && filepath.Ext(path) == ".md" {
			pages = append(pages, path)
		}
		return err
	})).To(Succeed())
	for _, page := range append(pages, root+"/README.md", root+"/CONTRIBUTING.md") {
		raw, err := os.ReadFile(page)
		g.Expect(err).NotTo(HaveOccurred())
		for _, found := range link.FindAllStringSubmatch(string(raw), -1) {
			if strings.Contains(found[1], "://") {
				continue
			}
			_, err := os.Stat(filepath.Join(filepath.Dir(page), found[1]))
			g.Expect(err).NotTo(HaveOccurred(), page)
		}
	}
}
