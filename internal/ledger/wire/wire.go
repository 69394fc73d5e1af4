// Package wire converts the types of package ledger to and from their protobuf
// messages, which both the RPCs and the files of a replica use.
package wire

import (
	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/rpc/ledgerpb"
)

// FromAnswer returns the message of an answer, or nil for a nil answer.
func FromAnswer(answer *ledger.Answer) *ledgerpb.StoredAnswer {
	if answer == nil {
		return nil
	}
	out := &ledgerpb.StoredAnswer{Status: int32(answer.Status), ContentType: []byte(answer.ContentType), Body: answer.Body}
	if answer.BodyDigest != nil {
		out.BodyDigest = answer.BodyDigest[:]
	}
	return out
}

// ToAnswer returns the answer of a message, or nil for a nil message. It fails if
// the body digest has a wrong length.
func ToAnswer(message *ledgerpb.StoredAnswer) (*ledger.Answer, error) {
	if message == nil {
		return nil, nil
	}
	out := &ledger.Answer{Status: int(message.Status), ContentType: string(message.ContentType), Body: message.Body}
	if len(message.BodyDigest) == 0 {
		return out, nil
	}
	digest := ledger.Digest{}
	if err := copyExact(digest[:], message.BodyDigest, "body digest"); err != nil {
		return nil, err
	}
	out.BodyDigest = &digest
	return out, nil
}

// FromMeta returns the message of a meta.
func FromMeta(meta ledger.Meta) *ledgerpb.Meta {
	return &ledgerpb.Meta{
		Phase:           ledgerpb.Phase(meta.Phase),
		Generation:      meta.Generation,
		Epoch:           meta.Epoch,
		Members:         meta.Members,
		QuarantineUntil: meta.QuarantineUntil,
		Shards:          uint32(meta.Shards),
		Layout:          meta.Layout,
		Since:           meta.ListEpoch,
		Addresses:       meta.Addresses,
		Pending:         FromList(meta.Pending),
	}
}

// FromList returns the message of a member list, or nil for a nil list.
func FromList(list *ledger.MemberList) *ledgerpb.MemberList {
	if list == nil {
		return nil
	}
	return &ledgerpb.MemberList{Since: list.ListEpoch, Members: list.Members, Addresses: list.Addresses}
}

// ToList returns the member list of a message, or nil for a nil message.
func ToList(message *ledgerpb.MemberList) *ledger.MemberList {
	if message == nil {
		return nil
	}
	return &ledger.MemberList{ListEpoch: message.Since, Members: message.Members, Addresses: message.Addresses}
}

// ToMeta returns the meta of a message. A nil message returns the meta of an empty
// replica.
func ToMeta(message *ledgerpb.Meta) ledger.Meta {
	return ledger.Meta{
		Phase:           ledger.Phase(message.GetPhase()),
		Generation:      message.GetGeneration(),
		Epoch:           message.GetEpoch(),
		Members:         message.GetMembers(),
		QuarantineUntil: message.GetQuarantineUntil(),
		Shards:          int(message.GetShards()),
		Layout:          message.GetLayout(),
		ListEpoch:       message.GetSince(),
		Addresses:       message.GetAddresses(),
		Pending:         ToList(message.GetPending()),
	}
}

// FromRecord returns the message of a record.
func FromRecord(record *ledger.Record) *ledgerpb.Record {
	out := &ledgerpb.Record{
		Holders:   fromAttempts(record.Holders),
		Released:  fromAttempts(record.Released),
		Answer:    FromAnswer(record.Answer),
		ChangedAt: record.ChangedAt,
		MintedAt:  record.MintedAt,
	}
	if record.Digest != (ledger.Digest{}) {
		out.RequestDigest = record.Digest[:]
	}
	return out
}

// ToRecord returns the record of a message. It fails if a digest or an attempt ID
// has a wrong length.
func ToRecord(message *ledgerpb.Record) (*ledger.Record, error) {
	out := &ledger.Record{ChangedAt: message.ChangedAt, MintedAt: message.MintedAt}
	var err error
	if len(message.RequestDigest) > 0 {
		if err := copyExact(out.Digest[:], message.RequestDigest, "request digest"); err != nil {
			return nil, err
		}
	}
	if out.Holders, err = toAttempts(message.Holders); err != nil {
		return nil, err
	}
	if out.Released, err = toAttempts(message.Released); err != nil {
		return nil, err
	}
	out.Answer, err = ToAnswer(message.Answer)
	return out, err
}

// FromEntry returns the message of an entry.
func FromEntry(entry ledger.Entry) *ledgerpb.Entry {
	if entry.Meta != nil {
		return &ledgerpb.Entry{Meta: FromMeta(*entry.Meta)}
	}
	out := &ledgerpb.Entry{Key: entry.Key[:]}
	if entry.Record != nil {
		out.Record = FromRecord(entry.Record)
	}
	return out
}

// ToEntry returns the entry of a message. It fails if the key or a field of the
// record has a wrong length.
func ToEntry(message *ledgerpb.Entry) (ledger.Entry, error) {
	if message.Meta != nil {
		meta := ToMeta(message.Meta)
		return ledger.Entry{Meta: &meta}, nil
	}
	out := ledger.Entry{}
	if err := copyExact(out.Key[:], message.Key, "key"); err != nil {
		return out, err
	}
	if message.Record == nil {
		return out, nil
	}
	record, err := ToRecord(message.Record)
	out.Record = record
	return out, err
}

// ToClaim returns the claim request of an operation. It fails if a field that the
// kind of the operation requires has a wrong length.
func ToClaim(message *ledgerpb.Operation) (ledger.ClaimRequest, error) {
	out := ledger.ClaimRequest{
		Epoch: message.Epoch, View: message.View, Generation: message.Generation, MintedAt: message.MintedAt,
	}
	if err := copyExact(out.Key[:], message.Key, "key"); err != nil {
		return out, err
	}
	if message.Kind == ledgerpb.OperationKind_READ {
		return out, nil
	}
	if err := copyExact(out.Attempt[:], message.Attempt, "attempt"); err != nil {
		return out, err
	}
	if message.Kind == ledgerpb.OperationKind_RELEASE {
		return out, nil
	}
	return out, copyExact(out.Digest[:], message.RequestDigest, "request digest")
}

// FromReply returns the message of a reply.
func FromReply(reply ledger.Reply) *ledgerpb.Result {
	out := &ledgerpb.Result{
		Status: ledgerpb.Status(reply.Status),
		Epoch:  reply.Epoch,
		Answer: FromAnswer(reply.Answer),
		Shards: uint32(reply.Shards),
		List:   FromList(reply.List),
	}
	if reply.Status == ledger.StatusHeld {
		out.Holder = reply.Holder[:]
	}
	return out
}

// ToReply returns the reply of a message. It fails if the holder or the body
// digest has a wrong length.
func ToReply(message *ledgerpb.Result) (ledger.Reply, error) {
	out := ledger.Reply{
		Status: ledger.Status(message.Status), Epoch: message.Epoch,
		Shards: int(message.Shards), List: ToList(message.List),
	}
	if len(message.Holder) > 0 {
		if err := copyExact(out.Holder[:], message.Holder, "holder"); err != nil {
			return out, err
		}
	}
	answer, err := ToAnswer(message.Answer)
	out.Answer = answer
	return out, err
}

func fromAttempts(ids []ledger.AttemptID) [][]byte {
	var out [][]byte
	for i := range ids {
		out = append(out, ids[i][:])
	}
	return out
}

func toAttempts(encoded [][]byte) ([]ledger.AttemptID, error) {
	var out []ledger.AttemptID
	for _, raw := range encoded {
		id := ledger.AttemptID{}
		if err := copyExact(id[:], raw, "attempt"); err != nil {
			return nil, err
		}
		out = append(out, id)
	}
	return out, nil
}

// copyExact copies src to dst and fails unless they have the same length.
func copyExact(dst, src []byte, field string) error {
	if len(dst) != len(src) {
		return errors.Errorf("field %s has %d bytes, want %d", field, len(src), len(dst))
	}
	copy(dst, src)
	return nil
}
