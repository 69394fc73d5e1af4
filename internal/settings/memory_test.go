package settings_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/settings"
)

func TestGCPercentDependsOnRoles(t *testing.T) {
	g := NewWithT(t)
	control := settings.Settings{Roles: []settings.Role{settings.RoleControl, settings.RoleLedger}}
	g.Expect(control.GCPercent()).To(Equal(50))
	router := settings.Settings{Roles: []settings.Role{settings.RoleControl, settings.RoleRouter}}
	g.Expect(router.GCPercent()).To(Equal(100))
	router.Memory.GCPercent = 70
	g.Expect(router.GCPercent()).To(Equal(70))
}

func TestNegativeMemorySettingsAreRejected(t *testing.T) {
	g := NewWithT(t)
	s := settings.Settings{Memory: settings.Memory{GCPercent: -1, LimitMB: -1}}
	var fields []string
	for _, err := range s.Validate() {
		fields = append(fields, err.Field)
	}
	g.Expect(fields).To(ContainElements("memory.gcPercent", "memory.limitMb"))
}
