package wire_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/ledger/wire"
	"peridotwinch.example/peridotwinch/internal/rpc/ledgerpb"
)

// TestAnswerWithContentTypeThatIsNotUTF8IsStored guards against a claim that is never completed, and
// whose retries never get the answer, because its content type cannot be encoded.
func TestAnswerWithContentTypeThatIsNotUTF8IsStored(t *testing.T) {
	g := NewWithT(t)
	answer := &ledger.Answer{Status: 200, ContentType: "text/plain; name=caf\xe9", Body: []byte("done")}
	raw, err := proto.Marshal(wire.FromAnswer(answer))
	g.Expect(err).NotTo(HaveOccurred())
	message := &ledgerpb.StoredAnswer{}
	g.Expect(proto.Unmarshal(raw, message)).To(Succeed())
	g.Expect(wire.ToAnswer(message)).To(Equal(answer))
}
