package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
)

// Join configures the discovery of the other daemons through seeds, instead of a list of peers.
type Join struct {
	// Seeds are addresses of control instances. Only their IP addresses are used: all
	// daemons listen for RPCs on the same port as this daemon.
	Seeds []string `json:"seeds"`
	// Bootstrap is true if the whole system starts for the first time. The control
	// instances among the seeds then form the control group.
	Bootstrap bool `json:"bootstrap,omitempty"`
	// Address is the address at which other daemons reach this daemon's RPCs; listen.peers
	// by default.
	Address string `json:"address,omitempty"`
	// FaultTolerance is the number of control instances that may be lost at the same time; 1 by
	// default. The control group has 2n+1 voters for n losses, or fewer if there are not enough
	// instances; the other instances are spares, which replace lost voters.
	FaultTolerance int `json:"faultTolerance,omitempty"`
}

// defaultFaultTolerance and maxFaultTolerance are the default and the highest value of
// join.faultTolerance, in instances.
const (
	defaultFaultTolerance = 1
	maxFaultTolerance     = 4
)

// SetFaultTolerance sets join.faultTolerance from the text of a number, unless the settings state it or
// the text is empty. It returns Errors with the field if the text is not valid.
func (s *Settings) SetFaultTolerance(text string) error {
	if text == "" || s.Join == nil || s.Join.FaultTolerance != 0 {
		return nil
	}
	v := &validator{}
	tolerated, err := strconv.Atoi(text)
	if err != nil {
		v.add("join.faultTolerance", "%q is not a number", text)
		return v.errs
	}
	s.Join.FaultTolerance = tolerated
	if v.faultTolerance(s.Join); len(v.errs) > 0 {
		return v.errs
	}
	return nil
}

// MaxVoters returns the number of voters that the control group has if there are enough instances.
func (j *Join) MaxVoters() int {
	tolerated := j.FaultTolerance
	if tolerated == 0 {
		tolerated = defaultFaultTolerance
	}
	return 2*tolerated + 1
}

// rpcAddress returns the address at which other daemons reach this daemon's RPCs.
func (s *Settings) rpcAddress() string {
	if s.Join != nil && s.Join.Address != "" {
		return s.Join.Address
	}
	return s.Listen.Peers
}

// ControlAddresses returns the RPC addresses of the seeds, sorted and without duplicates. It
// returns nil if join is not set, and omits seeds that are not valid addresses.
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

// ReplicaName returns the name of this daemon in the control group. If daemons join by seeds,
// it is the RPC address, because no other name identifies an instance that restarts with an
// empty disk or is replaced. Otherwise it is the instance name.
func (s *Settings) ReplicaName() string {
	if s.Join != nil {
		return s.rpcAddress()
	}
	return s.Instance
}

func (v *validator) faultTolerance(j *Join) {
	if j.FaultTolerance < 0 || j.FaultTolerance > maxFaultTolerance {
		v.add("join.faultTolerance", "%d is not between 1 and %d", j.FaultTolerance, maxFaultTolerance)
	}
}

func (v *validator) join(s *Settings) {
	if s.Join == nil {
		return
	}
	if len(s.Join.Seeds) == 0 {
		v.add("join.seeds", "at least one seed address is required")
	}
	for i, seed := range s.Join.Seeds {
		v.address(fmt.Sprintf("join.seeds[%d]", i), seed)
	}
	if s.Join.Address != "" {
		v.address("join.address", s.Join.Address)
	}
	v.faultTolerance(s.Join)
	if len(s.Peers) > 0 {
		v.add("peers", "must be empty if join is set")
	}
	if s.Adapter == "" {
		v.add("adapter", "required if join is set")
	}
	if s.HasRole(RoleLedger) {
		v.add("roles", "the role ledger requires peers and is not allowed if join is set")
	}
}
