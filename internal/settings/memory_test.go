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
	s := settings.Settings{Memory: settings.Memory{GCPercent: -1, LimitMB: -1, ProcessMB: -1, RequestsMB: -1}}
	var fields []string
	for _, err := range s.Validate() {
		fields = append(fields, err.Field)
	}
	g.Expect(fields).To(ContainElements("memory.gcPercent", "memory.limitMb", "memory.processMb", "memory.requestsMb"))
}

func TestRequestMemoryDependsOnTheProcess(t *testing.T) {
	g := NewWithT(t)
	var s settings.Settings
	g.Expect(s.RequestMemoryBytes()).To(BeEquivalentTo(64_000_000))
	for _, text := range []string{"x", "0", "-3", "NaN", "1e300"} {
		g.Expect(s.SetProcessMemory(text)).To(MatchError(ContainSubstring("memory.processMb")), text)
	}
	g.Expect(s.SetProcessMemory("")).To(Succeed())
	g.Expect(s.SetProcessMemory("200.0")).To(Succeed())
	g.Expect(s.RequestMemoryBytes()).To(BeEquivalentTo(90_000_000))
	g.Expect(s.SetProcessMemory("400")).To(Succeed())
	g.Expect(s.Memory.ProcessMB).To(Equal(200), "the settings state it")
	s.Memory.RequestsMB = 10
	g.Expect(s.RequestMemoryBytes()).To(BeEquivalentTo(10_000_000))
}
