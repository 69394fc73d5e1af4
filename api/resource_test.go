package api_test

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
)

const digest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

// TestSpecificationThatCannotBeReadIsRefused guards against a resource that is acknowledged with another
// specification than the operator has sent, and against an upgrade after which a stored one has no effect.
func TestSpecificationThatCannotBeReadIsRefused(t *testing.T) {
	for spec, field := range map[string]string{
		`{"tokenDigests":["` + digest + `"],"weight":1,"weight":3}`:       "spec.weight",
		`{"TokenDigests":["` + digest + `"],"weight":3}`:                  "spec.TokenDigests",
		`{"tokenDigests":["` + digest + `"],"Weight":3,"weight":3}`:       "spec.Weight",
		`{"tokenDigests":["` + digest + `"],"weight":3} `:                 "",
		"{\"tokenDigests\":[\"" + digest + "\"],\"weight\":3,\"\xff\":1}": "spec",
	} {
		g := NewWithT(t)
		resource := &api.Resource{Kind: api.KindCustomers, Names: api.Names{"site": "a"}, Spec: json.RawMessage(spec)}
		errs := resource.Validate([]api.Scheme{"site"})
		if field == "" {
			g.Expect(errs).To(BeEmpty(), spec)
		} else {
			g.Expect(errs).To(HaveLen(1), spec)
			g.Expect(errs[0].Code).To(Equal(api.CodeResourceInvalid), spec)
			g.Expect(errs[0].Field).To(Equal(field), spec)
		}
		if strings.Contains(spec, "\xff") {
			continue // An unknown field was refused before, too.
		}
		stored, err := api.DecodeSpec(api.KindCustomers, resource.Spec)
		g.Expect(err).NotTo(HaveOccurred(), spec)
		g.Expect(stored).To(Equal(&api.CustomerSpec{TokenDigests: []string{digest}, Weight: 3}), spec)
	}
}
