package settings

import (
	"fmt"
	"net/netip"
	"slices"
)

// Join tells how a daemon finds the others where no list of them is known.
type Join struct {
	// Seeds are addresses of control instances, of which only the IP address is
	// used: all daemons take RPCs at the port at which this one does.
	Seeds []string `json:"seeds"`
	// Bootstrap says that the whole system starts for the first time, so that the
	// control instances among the seeds form the group.
	Bootstrap bool `json:"bootstrap,omitempty"`
	// Address is where the others reach this daemon's RPCs, if that is not listen.peers.
	Address string `json:"address,omitempty"`
}

// rpcAddress returns the address by which the others know this daemon.
func (s *Settings) rpcAddress() string {
	if s.Join != nil && s.Join.Address != "" {
		return s.Join.Address
	}
	return s.Listen.Peers
}

// ControlAddresses returns the addresses at which the seeds take RPCs.
func (s *Settings) ControlAddresses() []string {
	own, err := netip.ParseAddrPort(s.rpcAddress())
	if s.Join == nil || err != nil {
		return nil
	}
	out := make([]string, 0, len(s.Join.Seeds))
	for _, seed := range s.Join.Seeds {
		address, err := netip.ParseAddrPort(seed)
		if err != nil {
			continue
		}
		out = append(out, netip.AddrPortFrom(address.Addr(), own.Port()).String())
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// ReplicaName returns the name of this daemon in the control group: its address
// for RPCs where daemons join by seeds, because nothing else names an instance
// that comes back with an empty disk or is replaced, and its instance otherwise.
func (s *Settings) ReplicaName() string {
	if s.Join != nil {
		return s.rpcAddress()
	}
	return s.Instance
}

func (v *validator) join(s *Settings) {
	if s.Join == nil {
		return
	}
	if len(s.Join.Seeds) == 0 {
		v.add("join.seeds", "at least one is needed")
	}
	for i, seed := range s.Join.Seeds {
		v.address(fmt.Sprintf("join.seeds[%d]", i), seed)
	}
	if s.Join.Address != "" {
		v.address("join.address", s.Join.Address)
	}
	if len(s.Peers) > 0 {
		v.add("peers", "daemons that join by seeds name no peers")
	}
	if s.Adapter == "" {
		v.add("adapter", "daemons that join by seeds need one")
	}
	if s.HasRole(RoleLedger) {
		v.add("roles", "a ledger replica needs the peers of its group")
	}
}
