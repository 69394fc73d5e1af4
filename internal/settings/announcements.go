package settings

import "net/netip"

// announcements checks the address at which a router takes announcements. Servers are told this
// address, so it must be one that they can connect to.
func (v *validator) announcements(s *Settings) {
	const field = "listen.announcements"
	v.concreteAddress(field, s.Listen.Announcements)
	if !s.HasRole(RoleRouter) || s.Join == nil || s.Adapter == "" {
		v.add(field, "requires the role router, join and adapter")
	}
}

func (v *validator) concreteAddress(field, value string) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Addr().IsUnspecified() || address.Port() == 0 {
		v.add(field, "not an IP address and port that others can connect to: %q", value)
	}
}
