package ledger

import (
	"math/rand/v2"
	"slices"
)

// changeEpochRange bounds the random part of the epoch of a membership change. The
// random part prevents two operators from choosing the same epoch.
const changeEpochRange = 1 << 32

// ChangeEpoch returns a random epoch above highest. It identifies one ballot of a
// membership change.
func ChangeEpoch(highest uint64, random *rand.Rand) uint64 {
	return OperatorEpoch(highest + random.Uint64N(changeEpochRange)*MaxMembers)
}

// PromiseChange is the promise phase of a membership change from the member list
// of epoch base. It raises the replica's epoch, so that the replica accepts no
// change of a lower one. The caller must read the meta afterwards: a list that is
// pending there may already be committed and must be completed. PromiseChange
// returns false if the replica has another member list or a higher epoch.
func (s *State) PromiseChange(epoch, base uint64) (bool, []Entry) {
	if s.meta.ListEpoch != base {
		return false, nil
	}
	return s.RaiseEpoch(epoch)
}

// AcceptChange is the accept phase of a membership change: it makes next the
// pending member list. From then on the replica grants nothing until it installs
// a newer list, so its records contain everything it granted to claims under the
// old list. AcceptChange refuses if the epoch was raised since the promise,
// because the replica that raised it may have recovered without this change. A
// replica accepts at most one list per epoch.
func (s *State) AcceptChange(epoch, base uint64, next MemberList) (bool, []Entry) {
	if s.meta.Phase != PhaseActive || s.meta.ListEpoch != base || epoch < s.meta.Epoch {
		return false, nil
	}
	if s.meta.Pending != nil && s.meta.Pending.ListEpoch == epoch {
		return slices.Equal(s.meta.Pending.Members, next.Members), nil
	}
	meta := s.meta
	meta.Epoch = epoch
	next.ListEpoch = epoch
	meta.Pending = &next
	return true, []Entry{s.setMeta(meta)}
}

// InstallList installs a member list that a majority of the old members has
// accepted. The replica keeps its records: a replica that has been a member
// throughout has granted to claims under the old list nothing that a majority of
// the new members could miss.
func (s *State) InstallList(list MemberList) (bool, []Entry) {
	if s.meta.Phase != PhaseActive || list.ListEpoch <= s.meta.ListEpoch {
		return false, nil
	}
	meta := s.meta
	meta.setList(list)
	meta.Epoch = max(meta.Epoch, list.ListEpoch)
	return true, []Entry{s.setMeta(meta)}
}

// CommittedList returns the newest member list that the members' metas show to be
// committed: a list that an active member has installed, or one that a majority
// of the members of the preceding list has accepted. The metas are keyed by
// instance. CommittedList returns false if none of them is of an active member.
func CommittedList(metas map[string]Meta) (MemberList, bool) {
	newest, found := InstalledList(metas)
	if !found {
		return newest, false
	}
	for _, meta := range metas {
		if meta.Pending != nil && meta.ListEpoch == newest.ListEpoch && isAccepted(metas, newest, *meta.Pending) {
			return *meta.Pending, true
		}
	}
	return newest, true
}

// InstalledList returns the newest member list that an active member has installed.
// It returns false if no member is active.
func InstalledList(metas map[string]Meta) (MemberList, bool) {
	newest, found := MemberList{}, false
	for _, meta := range metas {
		if meta.Phase == PhaseActive && (!found || meta.ListEpoch > newest.ListEpoch) {
			newest, found = meta.List(), true
		}
	}
	return newest, found
}

// isAccepted reports whether a majority of the members of base has accepted
// next in the same epoch.
func isAccepted(metas map[string]Meta, base, next MemberList) bool {
	accepted := 0
	for _, member := range base.Members {
		pending := metas[member].Pending
		if pending != nil && pending.ListEpoch == next.ListEpoch {
			accepted++
		}
	}
	return accepted >= Majority(len(base.Members))
}

// Replace returns a list in which replacement, with its RPC address, takes the
// place of member. The members stay in ascending order. The list has no epoch
// until AcceptChange sets it.
func (l MemberList) Replace(member, replacement, address string) MemberList {
	next := MemberList{}
	for i, current := range l.Members {
		if current != member {
			next.Members = append(next.Members, current)
			next.Addresses = append(next.Addresses, l.addressAt(i))
		}
	}
	index, _ := slices.BinarySearch(next.Members, replacement)
	next.Members = slices.Insert(next.Members, index, replacement)
	next.Addresses = slices.Insert(next.Addresses, index, address)
	return next
}

func (l MemberList) addressAt(i int) string {
	if i < len(l.Addresses) {
		return l.Addresses[i]
	}
	return ""
}

// AddressOf returns the RPC address of a member, or "" if the list has none.
func (l MemberList) AddressOf(member string) string {
	if i := l.indexOf(member); i >= 0 {
		return l.addressAt(i)
	}
	return ""
}
