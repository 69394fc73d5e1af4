package ledger

import (
	"math/rand/v2"
	"slices"
)

// changeRange is the range of the random part of a change's epoch, so that two
// operators never choose the same one.
const changeRange = 1 << 32

// ChangeEpoch returns an epoch above the highest one seen that names a change of
// the members.
func ChangeEpoch(highest uint64, random *rand.Rand) uint64 {
	return OperatorEpoch(highest + random.Uint64N(changeRange)*MaxMembers)
}

// PromiseChange raises the epoch, so that the replica accepts no change of a
// lower one. The caller reads the meta afterwards: a list that is pending there
// may have been chosen and must be finished.
func (s *State) PromiseChange(epoch, base uint64) (bool, []Change) {
	if s.meta.Since != base {
		return false, nil
	}
	return s.RaiseEpoch(epoch)
}

// AcceptChange makes a member list pending. The replica grants nothing from then
// on until it follows a newer list, so that what it holds is all that it has
// granted to claims of the old one. It refuses when the epoch was raised since
// the promise: the replica that raised it may have recovered without this change.
func (s *State) AcceptChange(epoch, base uint64, next MemberList) (bool, []Change) {
	if s.meta.Phase != PhaseActive || s.meta.Since != base || epoch < s.meta.Epoch {
		return false, nil
	}
	if s.meta.Pending != nil && s.meta.Pending.Since == epoch {
		return slices.Equal(s.meta.Pending.Members, next.Members), nil
	}
	meta := s.meta
	meta.Epoch = epoch
	next.Since = epoch
	meta.Pending = &next
	return true, []Change{s.setMeta(meta)}
}

// FollowList takes a member list that a majority of the old members has
// accepted. The records stay: a replica that has been a member all the time has
// granted to claims of the old list nothing that a majority of the new members
// could miss.
func (s *State) FollowList(list MemberList) (bool, []Change) {
	if s.meta.Phase != PhaseActive || list.Since <= s.meta.Since {
		return false, nil
	}
	meta := s.meta
	meta.setList(list)
	meta.Epoch = max(meta.Epoch, list.Since)
	return true, []Change{s.setMeta(meta)}
}

// Chosen returns the newest member list that the metas of members show to be in
// force: one that a member follows already, or one that a majority of the
// members of the list before it has accepted.
func Chosen(metas map[string]Meta) (MemberList, bool) {
	newest, found := Followed(metas)
	if !found {
		return newest, false
	}
	for _, meta := range metas {
		if meta.Pending != nil && meta.Since == newest.Since && isAccepted(metas, newest, *meta.Pending) {
			return *meta.Pending, true
		}
	}
	return newest, true
}

// Followed returns the newest member list that an active member follows.
func Followed(metas map[string]Meta) (MemberList, bool) {
	newest, found := MemberList{}, false
	for _, meta := range metas {
		if meta.Phase == PhaseActive && (!found || meta.Since > newest.Since) {
			newest, found = meta.List(), true
		}
	}
	return newest, found
}

func isAccepted(metas map[string]Meta, base, next MemberList) bool {
	accepted := 0
	for _, member := range base.Members {
		pending := metas[member].Pending
		if pending != nil && pending.Since == next.Since {
			accepted++
		}
	}
	return accepted >= Majority(len(base.Members))
}

// Replace returns the list with one member replaced by another one, in ascending
// order.
func (l MemberList) Replace(member, by, address string) MemberList {
	out := MemberList{}
	for i, one := range l.Members {
		if one != member {
			out.Members = append(out.Members, one)
			out.Addresses = append(out.Addresses, l.address(i))
		}
	}
	at, _ := slices.BinarySearch(out.Members, by)
	out.Members = slices.Insert(out.Members, at, by)
	out.Addresses = slices.Insert(out.Addresses, at, address)
	return out
}

func (l MemberList) address(i int) string {
	if i < len(l.Addresses) {
		return l.Addresses[i]
	}
	return ""
}

// AddressOf returns the address of a member, or "" where the list has none.
func (l MemberList) AddressOf(member string) string {
	if i := l.indexOf(member); i >= 0 {
		return l.address(i)
	}
	return ""
}
