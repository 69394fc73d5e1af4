package quarantine_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotwinch.example/peridotwinch/internal/quarantine"
)

const (
	pool    = "engines"
	common  = 0xa
	subject = 0xb
	deadly  = 0xd
	other   = 0xe
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// loss returns the loss of a prompt with these parts and a last one that no other prompt has.
func loss(server uint64, sentMS, lostMS int, parts ...uint64) quarantine.Loss {
	own := 0xf000_0000 + server<<20 + uint64(sentMS)
	return repeatedLoss(server, sentMS, lostMS, append(slices.Clone(parts), own)...)
}

// repeatedLoss returns the loss of a prompt with exactly these parts.
func repeatedLoss(server uint64, sentMS, lostMS int, parts ...uint64) quarantine.Loss {
	return quarantine.Loss{Server: server, Pool: pool, Parts: parts, SentAt: at(sentMS), LostAt: at(lostMS)}
}

// endServers merges the ends of servers from first to last, one a second, on prompts with these
// parts. After each, the pool answers a prompt with none of them.
func endServers(t *quarantine.Table, first, last uint64, parts ...uint64) {
	for i := first; i <= last; i++ {
		t.Merge([]quarantine.Loss{loss(i, 1000*int(i), 1000*int(i)+200, parts...)}, at(1000*int(i)+220))
		t.RecordAnswer(pool, []uint64{other}, at(1000*int(i)+300))
	}
}

func withheld(t *quarantine.Table, ms int, parts ...uint64) bool {
	return t.Decide(pool, parts, at(ms)).Withheld
}

func TestPartIsWithheldAfterServersEndedOneAfterTheOther(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.NewTable("r")
	endServers(table, 1, 2, common, subject, deadly)
	g.Expect(withheld(table, 3000, common, subject, deadly)).To(BeFalse())
	endServers(table, 3, 3, common, subject, deadly)
	g.Expect(withheld(table, 4000, common, subject, deadly)).To(BeTrue())
	g.Expect(withheld(table, 4000, common, subject, other)).To(BeFalse(), "a prompt with the same other parts")
	g.Expect(table.Decide("other engines", []uint64{deadly}, at(4000)).Withheld).To(BeFalse(), "the part in another pool")
}

// TestServersThatEndTogetherBlameNoPart guards against a quarantine of the parts that all prompts
// share when a failure domain, or all servers of a pool, end at the same time.
func TestServersThatEndTogetherBlameNoPart(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.NewTable("r")
	for i := range uint64(20) {
		table.Merge([]quarantine.Loss{loss(i, 100+int(i), 500+int(i), common, subject)}, at(600))
	}
	table.RecordAnswer(pool, []uint64{other}, at(700))
	g.Expect(withheld(table, 800, common, subject)).To(BeFalse())
}

// TestServersThatEndShortlyOneAfterTheOtherBlameNoPart guards against a quarantine of shared parts
// when all servers of a pool end within some tens of milliseconds: a request that one server has
// lost is sent to the next one, which then ends, too.
func TestServersThatEndShortlyOneAfterTheOtherBlameNoPart(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.NewTable("r")
	for i := range 12 {
		lostMS := 500 + 20*i
		table.Merge([]quarantine.Loss{loss(uint64(i), lostMS-15, lostMS, common, subject)}, at(lostMS))
		table.RecordAnswer(pool, []uint64{other}, at(lostMS+1))
	}
	g.Expect(withheld(table, 900, common, subject)).To(BeFalse())
}

// TestRequestsWithOnePromptOnOneServerAreDistinct guards against routers that reach different
// verdicts because each kept another one of two requests with the same parts on one server.
func TestRequestsWithOnePromptOnOneServerAreDistinct(t *testing.T) {
	g := NewWithT(t)
	early, late := loss(2, 100, 1000, deadly), loss(2, 800, 1000, deadly)
	early.Request, late.Request = 1, 2
	others := []quarantine.Loss{loss(1, 0, 400, deadly), loss(3, 1500, 1600, deadly)}
	for _, order := range [][]quarantine.Loss{{early, late}, {late, early}} {
		table := quarantine.NewTable("r")
		table.Merge(append(order, others...), at(2000))
		g.Expect(withheld(table, 2000, deadly)).To(BeTrue())
	}
}

// TestPartIsTriedSoonIfThePoolAnsweredNothing guards against a long quarantine of a shared part
// after the servers of a pool have ended again and again on any prompt, and against a pool whose
// few servers a deadly part ends together with all other answers.
func TestPartIsTriedSoonIfThePoolAnsweredNothing(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.NewTable("r")
	for i := range 6 {
		table.Merge([]quarantine.Loss{loss(uint64(i), 1000*i, 1000*i+200, common)}, at(1000*i+220))
	}
	table.RecordAnswer(pool, []uint64{other}, at(9000))
	g.Expect(withheld(table, 9100, common)).To(BeTrue())
	g.Expect(withheld(table, 6*60_000, common)).To(BeFalse(), "one prompt is tried")
	g.Expect(withheld(table, 6*60_000+100, common)).To(BeTrue())
	for i := range 2 {
		sentMS := 360_000 + 10_000*i
		table.Merge([]quarantine.Loss{loss(uint64(10+i), sentMS, sentMS+200, common)}, at(sentMS+220))
		table.RecordAnswer(pool, []uint64{other}, at(sentMS+300))
	}
	g.Expect(withheld(table, 12*60_000, common)).To(BeTrue(), "the part ended servers while the pool answered others")
	table.RecordAnswer(pool, []uint64{common}, at(12*60_000))
	g.Expect(withheld(table, 12*60_000+1, common)).To(BeFalse())
}

// TestAnsweredPartIsNotBlamed guards against a quarantine of a part that sound prompts share
// with deadly ones, also if the answer began before its process knew of the loss.
func TestAnsweredPartIsNotBlamed(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.NewTable("r")
	for i := 1; i <= 5; i++ {
		table.RecordAnswer(pool, []uint64{common, subject}, at(1000*i+150))
		table.Merge([]quarantine.Loss{loss(uint64(i), 1000*i, 1000*i+200, common, subject, uint64(i)<<8)}, at(1000*i+220))
		table.RecordAnswer(pool, []uint64{other}, at(1000*i+300))
	}
	g.Expect(table.Verdicts()).To(BeEmpty())
	endServers(table, 11, 13, common, subject)
	g.Expect(withheld(table, 14000, common, subject)).To(BeTrue())
	table.RecordAnswer(pool, []uint64{subject}, at(14100))
	g.Expect(withheld(table, 14200, subject, other)).To(BeFalse(), "an answer releases the part")
}

// TestPartThatAPromptListsTwiceIsRefuted guards against a loss that is kept for hours because an answer
// counts for the first of two equal parts only.
func TestPartThatAPromptListsTwiceIsRefuted(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.NewTable("r")
	table.Merge([]quarantine.Loss{repeatedLoss(1, 0, 200, common, common, subject)}, at(220))
	table.RecordAnswer(pool, []uint64{common, common, subject}, at(300))
	table.Merge(nil, at(400))
	table.Merge(nil, at(60_000))
	g.Expect(table.Since(0)).To(BeEmpty())
}

// TestSharedPartIsBlamedIfLaterPartsDiffer guards against blaming the specific parts of prompts
// one after the other where the part before them ends the servers.
func TestSharedPartIsBlamedIfLaterPartsDiffer(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.NewTable("r")
	endServers(table, 1, 3, deadly, 0x101)
	g.Expect(withheld(table, 4000, deadly, 0x102)).To(BeFalse(), "the later part explains all ends")
	endServers(table, 4, 5, deadly, 0x102)
	g.Expect(withheld(table, 6000, deadly, 0x103)).To(BeTrue())
	g.Expect(withheld(table, 6000, 0x101)).To(BeFalse(), "the earlier part explains its ends")
}

// TestPartIsTriedByOneInstanceAtATime guards against a trial by each router once the hold time
// has passed.
func TestPartIsTriedByOneInstanceAtATime(t *testing.T) {
	g := NewWithT(t)
	var tables []*quarantine.Table
	for i := range 300 {
		table := quarantine.NewTable(string(rune('a' + i)))
		endServers(table, 1, 3, deadly)
		tables = append(tables, table)
	}
	passed := 0
	hour := int(time.Hour / time.Millisecond)
	for ms := 4000; ms < 16*hour && passed == 0; ms += 5000 {
		for _, table := range tables {
			if !withheld(table, ms, deadly) {
				g.Expect(ms).To(BeNumerically(">", 8*hour))
				passed++
			}
		}
		if passed > 0 {
			for _, table := range tables {
				table.Merge([]quarantine.Loss{loss(9, ms, ms+500, deadly)}, at(ms+500))
				g.Expect(withheld(table, ms+1000, deadly)).To(BeTrue(), "the trial ended another server")
			}
		}
	}
	g.Expect(passed).To(BeNumerically("~", 1, 2))
}

// TestFloodOfOtherLossesKeepsTheVerdict guards against a caller that pushes a deadly part out of
// the bounded table by sending another part each time.
func TestFloodOfOtherLossesKeepsTheVerdict(t *testing.T) {
	for name, lose := range map[string]func(uint64, int, int, ...uint64) quarantine.Loss{"shared part": loss, "repeated prompt": repeatedLoss} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			table := quarantine.NewTable("r")
			for i := range 3 {
				table.Merge([]quarantine.Loss{lose(uint64(i), 1000*i, 1000*i+200, common, deadly)}, at(1000*i+220))
				table.RecordAnswer(pool, []uint64{other}, at(1000*i+300))
			}
			for i := range uint64(1000) {
				table.Merge([]quarantine.Loss{loss(100+i, 5000+int(i), 5100+int(i), common, 0x10000+i)}, at(7000))
				table.RecordAnswer(pool, []uint64{0x20000 + i}, at(7000))
			}
			g.Expect(withheld(table, 8000, common, deadly)).To(BeTrue())
			g.Expect(len(table.Since(0))).To(BeNumerically("<=", 64))
		})
	}
}

// TestEvidenceDoesNotDependOnOrderOrRepetition checks that tables that have received the same
// losses, in any order, repeated and with stale copies, withhold the same parts.
func TestEvidenceDoesNotDependOnOrderOrRepetition(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(t)
		source := quarantine.NewTable("source")
		ids := []uint64{common, subject, deadly, other}
		var history []quarantine.Loss
		for i := range rapid.IntRange(1, 20).Draw(rt, "steps") {
			parts := rapid.SliceOfNDistinct(rapid.SampledFrom(ids), 1, 3, rapid.ID[uint64]).Draw(rt, "parts")
			if rapid.Bool().Draw(rt, "answer") {
				source.RecordAnswer(pool, parts, at(100*i))
			} else {
				makeLoss := rapid.SampledFrom([]func(uint64, int, int, ...uint64) quarantine.Loss{loss, repeatedLoss}).Draw(rt, "kind of loss")
				source.Merge([]quarantine.Loss{makeLoss(uint64(i), 100*i-rapid.IntRange(10, 400).Draw(rt, "waited"), 100*i, parts...)}, at(100*i))
			}
			history = append(history, source.Since(0)...)
		}
		seed := rapid.Uint64().Draw(rt, "order")
		rng := rand.New(rand.NewPCG(seed, 0))
		replica := quarantine.NewTable("replica")
		for range 2 {
			rng.Shuffle(len(history), func(i, j int) { history[i], history[j] = history[j], history[i] })
			for _, l := range history {
				replica.Merge([]quarantine.Loss{l}, at(2000))
			}
		}
		g.Expect(replica.Digest()).To(Equal(source.Digest()))
		for _, id := range ids {
			g.Expect(withheld(replica, 2000, id)).To(Equal(withheld(source, 2000, id)), "part %x of %v", id, history)
		}
		g.Expect(replica.Merge(source.Since(0), at(2000))).To(BeFalse(), "nothing is new")
	})
}

func TestPartsAtRiskAreThoseAtTheEnd(t *testing.T) {
	g := NewWithT(t)
	g.Expect(quarantine.PartsAtRisk(nil)).To(BeEmpty())
	g.Expect(quarantine.PartsAtRisk([]uint64{1})).To(Equal([]uint64{1}))
	g.Expect(quarantine.PartsAtRisk([]uint64{1, 2, 3})).To(Equal([]uint64{1, 2, 3}))
	long := append(slices.Repeat([]uint64{7}, 50), 8)
	g.Expect(quarantine.PartsAtRisk(long)).To(Equal(append(slices.Repeat([]uint64{7}, 31), 8)))
}

// TestRepeatedPromptThatEndsServersIsWithheld guards against a prompt that is sent again whole, under
// new request IDs, and ends one server after the other, while sound prompts share all of its parts
// but the last one.
func TestRepeatedPromptThatEndsServersIsWithheld(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.NewTable("r")
	repeated := quarantine.PartsAtRisk([]uint64{common, subject, deadly})
	sound := quarantine.PartsAtRisk([]uint64{common, subject, other})
	for i := range uint64(3) {
		lost := repeatedLoss(i+1, 1000*int(i), 1000*int(i)+200, repeated...)
		lost.Request = i
		table.Merge([]quarantine.Loss{lost}, at(1000*int(i)+220))
		table.RecordAnswer(pool, sound, at(1000*int(i)+300))
	}
	g.Expect(table.Decide(pool, repeated, at(4000)).Withheld).To(BeTrue())
	g.Expect(table.Decide(pool, sound, at(4000)).Withheld).To(BeFalse())
}

// TestRepeatedPromptSaysNothingOfSharedParts guards against a shared deadly part that goes on ending
// servers because the first of its prompts, sent again, explains their ends.
func TestRepeatedPromptSaysNothingOfSharedParts(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.NewTable("r")
	for i := range 3 {
		table.Merge([]quarantine.Loss{repeatedLoss(uint64(i), 1000*i, 1000*i+200, common, deadly, subject)}, at(1000*i+220))
		table.RecordAnswer(pool, []uint64{common, other}, at(1000*i+300))
	}
	g.Expect(withheld(table, 4000, common, deadly, 0x77)).To(BeTrue())
	g.Expect(withheld(table, 4000, common, 0x77)).To(BeFalse())
}

// TestVerdictOnARepeatedPromptIsKept guards against a verdict that a process does not reach because it
// receives the losses, all at once, later than single ones would count.
func TestVerdictOnARepeatedPromptIsKept(t *testing.T) {
	g := NewWithT(t)
	source, replica := quarantine.NewTable("r"), quarantine.NewTable("s")
	for i := range 3 {
		source.Merge([]quarantine.Loss{repeatedLoss(uint64(i), 1000*i, 1000*i+200, common, deadly)}, at(1000*i+220))
		source.RecordAnswer(pool, []uint64{common, other}, at(1000*i+300))
	}
	const hour = 3_600_000
	replica.Merge(source.Since(0), at(hour))
	source.Merge(nil, at(hour))
	g.Expect(withheld(source, hour, common, deadly)).To(BeTrue())
	g.Expect(withheld(replica, hour, common, deadly)).To(BeTrue())
}

// TestPromptsLostInACrashAreNotWithheld guards against last parts that are blamed because servers end for
// other reasons: each prompt is lost once or twice, in the same moment, or answered after it was lost.
func TestPromptsLostInACrashAreNotWithheld(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.NewTable("r")
	for server := range 20 {
		for request := range 3 {
			own := uint64(0x1000 + 10*(server/2) + request)
			table.Merge([]quarantine.Loss{repeatedLoss(uint64(server), 1000*server, 1000*server+200, common, own)}, at(1000*server+220))
			table.RecordAnswer(pool, []uint64{common, own + 5}, at(1000*server+300))
		}
	}
	g.Expect(table.Verdicts()).To(BeEmpty())
	g.Expect(len(table.Since(0))).To(BeNumerically("<=", 64))
	table.Merge(nil, at(20_000+11*60_000))
	g.Expect(table.Since(0)).To(BeEmpty(), "prompts that were not sent again are forgotten")
}

// BenchmarkAnswerWithFullTable measures an answer to a prompt that shares parts with all losses of a full
// table.
func BenchmarkAnswerWithFullTable(b *testing.B) {
	table := quarantine.NewTable("r")
	for i := range 100 {
		table.Merge([]quarantine.Loss{loss(uint64(i), 10*i, 10*i+200, common, subject+uint64(i%5)<<8)}, at(10*i+220))
	}
	answer := []uint64{common, subject, 0}
	for b.Loop() {
		answer[2]++
		table.RecordAnswer(pool, answer, at(20_000))
	}
}
