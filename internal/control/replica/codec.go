package replica

import (
	"peridotwinch.example/peridotwinch/internal/consensus"
	"peridotwinch.example/peridotwinch/internal/rpc/consensuspb"
)

func toMembership(m consensus.Membership) *consensuspb.Membership {
	out := &consensuspb.Membership{}
	for _, member := range m.Members {
		out.Members = append(out.Members, &consensuspb.Member{
			Id: uint64(member.ID), Instance: member.Instance, Learner: member.Learner,
			Domain: member.Domain, Joined: member.Joined,
		})
	}
	return out
}

func fromMembership(m *consensuspb.Membership) consensus.Membership {
	var members []consensus.Member
	for _, member := range m.GetMembers() {
		members = append(members, consensus.Member{
			ID: consensus.ReplicaID(member.GetId()), Instance: member.GetInstance(), Learner: member.GetLearner(),
			Domain: member.GetDomain(), Joined: member.GetJoined(),
		})
	}
	return consensus.NewMembership(members...)
}

func toEntries(entries []consensus.Entry) []*consensuspb.Entry {
	out := make([]*consensuspb.Entry, 0, len(entries))
	for _, entry := range entries {
		e := &consensuspb.Entry{Index: entry.Index, Term: entry.Term, Type: uint32(entry.Type), Data: entry.Data}
		if entry.Membership != nil {
			e.Membership = toMembership(*entry.Membership)
		}
		out = append(out, e)
	}
	return out
}

func fromEntries(entries []*consensuspb.Entry) []consensus.Entry {
	out := make([]consensus.Entry, 0, len(entries))
	for _, entry := range entries {
		e := consensus.Entry{
			Index: entry.GetIndex(), Term: entry.GetTerm(),
			Type: consensus.EntryType(entry.GetType()), Data: entry.GetData(),
		}
		if e.Type == consensus.EntryMembership {
			membership := fromMembership(entry.GetMembership())
			e.Membership = &membership
		}
		out = append(out, e)
	}
	return out
}

func toSnapshot(s *consensus.Snapshot) *consensuspb.Snapshot {
	if s == nil {
		return nil
	}
	return &consensuspb.Snapshot{Index: s.Index, Term: s.Term, Membership: toMembership(s.Membership), Data: s.Data}
}

func fromSnapshot(s *consensuspb.Snapshot) *consensus.Snapshot {
	if s == nil {
		return nil
	}
	return &consensus.Snapshot{
		Index: s.GetIndex(), Term: s.GetTerm(), Membership: fromMembership(s.GetMembership()), Data: s.GetData(),
	}
}

func toMessage(m consensus.Message) *consensuspb.Message {
	return &consensuspb.Message{
		Type: uint32(m.Type), From: uint64(m.From), To: uint64(m.To), Term: m.Term,
		LogIndex: m.LogIndex, LogTerm: m.LogTerm, Entries: toEntries(m.Entries), Commit: m.Commit,
		Reject: m.Reject, Hint: m.Hint, ReadSequence: m.ReadSequence, Snapshot: toSnapshot(m.Snapshot),
	}
}

func fromMessage(m *consensuspb.Message) consensus.Message {
	return consensus.Message{
		Type: consensus.MessageType(m.GetType()),
		From: consensus.ReplicaID(m.GetFrom()), To: consensus.ReplicaID(m.GetTo()), Term: m.GetTerm(),
		LogIndex: m.GetLogIndex(), LogTerm: m.GetLogTerm(), Entries: fromEntries(m.GetEntries()),
		Commit: m.GetCommit(), Reject: m.GetReject(), Hint: m.GetHint(),
		ReadSequence: m.GetReadSequence(), Snapshot: fromSnapshot(m.GetSnapshot()),
	}
}
