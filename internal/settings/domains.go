package settings

import (
	"fmt"
	"slices"
)

func (v *validator) domains(domains []string) {
	for i, domain := range domains {
		field := fmt.Sprintf("domains[%d]", i)
		v.required(field, domain)
		if slices.Contains(domains[:i], domain) {
			v.add(field, "duplicate domain %q", domain)
		}
	}
}
