package control

import (
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotwinch.example/peridotwinch/api"
)

func putPool(requestID, name string, version uint64, spec string) *Command {
	command := newCommand(api.VerbPut, requestID, "amina")
	command.Kind, command.Ref = api.KindPools, api.Ref("engine:"+name)
	command.Names = api.Names{"engine": name}
	command.Spec, command.ResourceVersion = json.RawMessage(spec), version
	return command
}

const chatPool = `{"protocol":"chat"}`

func apply(s *Store, command *Command) *Outcome {
	raw, err := json.Marshal(command)
	if err != nil {
		panic(err)
	}
	outcome, err := decodeOutcome(s.Apply(raw))
	if err != nil {
		panic(err)
	}
	return outcome
}

func codeOf(outcome *Outcome) api.Code {
	if outcome.Error == nil {
		return api.CodeOK
	}
	return outcome.Error.Code
}

// restoredFromSnapshot returns a store restored from a snapshot of s.
func restoredFromSnapshot(g *WithT, s *Store) *Store {
	raw, err := s.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	out := NewStore()
	g.Expect(out.Restore(raw)).To(Succeed())
	return out
}

// TestConflictingWriteFailsAndRetryReturnsFirstOutcome guards against lost updates: of two
// writes of the same version one fails, and a retry returns the first outcome without a new
// revision, also after a restore from a snapshot. Another write with a used request ID fails.
func TestConflictingWriteFailsAndRetryReturnsFirstOutcome(t *testing.T) {
	g := NewWithT(t)
	s := NewStore()
	g.Expect(codeOf(apply(s, putPool("create", "a", 0, chatPool)))).To(Equal(api.CodeOK))
	accepted := apply(s, putPool("one", "a", 1, chatPool))
	g.Expect(accepted.Revision).To(BeNumerically("==", 2))
	g.Expect(codeOf(apply(s, putPool("other", "a", 1, chatPool)))).To(Equal(api.CodeVersionConflict))
	g.Expect(codeOf(apply(s, putPool("late create", "a", 0, chatPool)))).To(Equal(api.CodeVersionConflict))
	for _, store := range []*Store{s, restoredFromSnapshot(g, s)} {
		retried := apply(store, putPool("one", "a", 1, chatPool))
		g.Expect(retried.Revision).To(Equal(accepted.Revision))
		g.Expect(retried.Resource).To(Equal(accepted.Resource))
		g.Expect(codeOf(apply(store, putPool("other", "a", 1, chatPool)))).To(Equal(api.CodeVersionConflict))
		g.Expect(codeOf(apply(store, putPool("one", "b", 0, chatPool)))).To(Equal(api.CodeRequestIDReused))
		g.Expect(store.Revision()).To(BeNumerically("==", 2))
	}
}

// TestAuditTrailHasBeforeAndAfter checks that a change in the audit trail holds operator,
// request ID and both versions of the resource, after a restore from a snapshot.
func TestAuditTrailHasBeforeAndAfter(t *testing.T) {
	g := NewWithT(t)
	s := NewStore()
	apply(s, putPool("create", "a", 0, chatPool))
	apply(s, putPool("change", "a", 1, `{"protocol":"service"}`))
	changes, _, err := restoredFromSnapshot(g, s).Changes(1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changes).To(HaveLen(1))
	g.Expect(changes[0].Operator).To(Equal("amina"))
	g.Expect(changes[0].RequestID).To(Equal("change"))
	g.Expect(string(changes[0].Before.Spec)).To(Equal(chatPool))
	g.Expect(string(changes[0].After.Spec)).To(Equal(`{"protocol":"service"}`))
}

// TestNamesAreUniqueAndReferencesResolve checks that a resource is found by each of its names,
// that a taken name is rejected, and that no write leaves a reference that names no resource
// or two.
func TestNamesAreUniqueAndReferencesResolve(t *testing.T) {
	g := NewWithT(t)
	s := NewStore()
	pool := putPool("1", "a", 0, chatPool)
	pool.Names["model"] = "swahili"
	g.Expect(codeOf(apply(s, pool))).To(Equal(api.CodeOK))
	for _, ref := range []api.Ref{"engine:a", "model:swahili", "a", "swahili"} {
		found, err := s.Get(api.KindPools, ref)
		g.Expect(err).NotTo(HaveOccurred(), string(ref))
		g.Expect(found.UID).To(Equal(pool.UID))
	}
	conflicting := putPool("2", "b", 0, chatPool)
	conflicting.Names["model"] = "swahili"
	g.Expect(codeOf(apply(s, conflicting))).To(Equal(api.CodeNameTaken))

	intent := newCommand(api.VerbPut, "3", "amina")
	intent.Kind, intent.Ref, intent.Names = api.KindIntents, "model:q", api.Names{"model": "q"}
	intent.Spec = json.RawMessage(`{"pool":"missing"}`)
	g.Expect(codeOf(apply(s, intent))).To(Equal(api.CodeReferenceMissing))
	intent.RequestID, intent.Spec = "4", json.RawMessage(`{"pool":"swahili"}`)
	g.Expect(codeOf(apply(s, intent))).To(Equal(api.CodeOK))

	// Two pools have the same name in different schemes.
	apply(s, putPool("8", "b", 0, chatPool))
	other := putPool("9", "c", 0, chatPool)
	other.Names["model"] = "b"
	g.Expect(codeOf(apply(s, other))).To(Equal(api.CodeOK))
	_, err := s.Get(api.KindPools, "b")
	g.Expect(api.AsError(err).Code).To(Equal(api.CodeNameAmbiguous))
	_, err = s.Get(api.KindPools, "model:b")
	g.Expect(err).NotTo(HaveOccurred())

	// Changes after which the reference would name no pool or two pools are rejected.
	g.Expect(codeOf(apply(s, putPool("5", "a", 1, chatPool)))).To(Equal(api.CodeStillReferenced))
	g.Expect(codeOf(apply(s, putPool("6", "swahili", 0, chatPool)))).To(Equal(api.CodeStillReferenced))
	remove := newCommand(api.VerbDelete, "7", "amina")
	remove.Kind, remove.Ref = api.KindPools, "a"
	g.Expect(codeOf(apply(s, remove))).To(Equal(api.CodeStillReferenced))
	found, err := s.Get(api.KindPools, "swahili")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found.UID).To(Equal(pool.UID))
}

// TestStoreDropsOldChangesAndRequestIDs guards against unbounded memory: the store retains
// maxRetainedChanges changes and request IDs.
func TestStoreDropsOldChangesAndRequestIDs(t *testing.T) {
	g := NewWithT(t)
	s := NewStore()
	for i := range maxRetainedChanges + 2 {
		apply(s, putPool(fmt.Sprint(i), fmt.Sprint("p", i), 0, chatPool))
	}
	_, _, err := s.Changes(1)
	g.Expect(api.AsError(err).Code).To(Equal(api.CodeRevisionGone))
	changes, _, err := s.Changes(2)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changes).To(HaveLen(maxRetainedChanges))
	g.Expect(s.outcomeByRequestID).To(HaveLen(maxRetainedChanges))
	restoredFromSnapshot(g, s)
}

// TestEqualLogsGiveEqualStates guards against diverging replicas: it applies random commands to
// two stores, restores one of them from snapshots between commands, and compares their outcomes
// and snapshots.
func TestEqualLogsGiveEqualStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		continuous, restored := NewStore(), NewStore()
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				raw, _ := restored.Snapshot()
				restored = NewStore()
				if err := restored.Restore(raw); err != nil {
					t.Fatal(err)
				}
			}
			command := drawCommand(t)
			raw, _ := json.Marshal(command)
			if a, b := continuous.Apply(raw), restored.Apply(raw); string(a) != string(b) {
				t.Fatalf("outcomes differ: %s and %s", a, b)
			}
		}
		a, _ := continuous.Snapshot()
		b, _ := restored.Snapshot()
		if string(a) != string(b) {
			t.Fatalf("snapshots differ: %s and %s", a, b)
		}
	})
}

func drawCommand(t *rapid.T) *Command {
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	command := newCommand(api.VerbPut, fmt.Sprint(rapid.IntRange(0, 40).Draw(t, "request")), "amina")
	command.Kind = rapid.SampledFrom([]api.Kind{api.KindPools, api.KindIntents}).Draw(t, "kind")
	command.Names = api.Names{"engine": name.Draw(t, "engine"), "model": name.Draw(t, "model")}
	command.Ref = api.Ref(name.Draw(t, "ref"))
	command.Spec = json.RawMessage(`{"protocol":"chat"}`)
	if command.Kind == api.KindIntents {
		command.Spec = json.RawMessage(`{"pool":"` + name.Draw(t, "pool") + `"}`)
	}
	command.ResourceVersion = uint64(rapid.IntRange(0, 5).Draw(t, "version"))
	if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
		command.Verb = api.VerbDelete
	}
	return command
}

// targetCustomers is the number of customers at the target size.
const targetCustomers = 4700

// BenchmarkSnapshotAtTargetSize encodes and restores a store of the target size with the
// maximum number of retained changes and request IDs.
func BenchmarkSnapshotAtTargetSize(b *testing.B) {
	s := NewStore()
	for i := range targetCustomers + maxRetainedChanges {
		command := newCommand(api.VerbPut, fmt.Sprint("request-", i), "amina")
		name := fmt.Sprint("customer-", i%targetCustomers)
		command.Kind, command.Ref = api.KindCustomers, api.Ref(name)
		command.Names = api.Names{"engine": name, "model": name, "customer": name}
		command.Spec = json.RawMessage(fmt.Sprintf(`{"tokenDigests":["%064x","%064x"],"weight":3}`, i, i))
		if i >= targetCustomers {
			command.ResourceVersion = uint64(i - targetCustomers + 1)
		}
		if outcome := apply(s, command); outcome.Error != nil {
			b.Fatal(outcome.Error)
		}
	}
	b.ReportAllocs()
	var raw []byte
	for b.Loop() {
		raw, _ = s.Snapshot()
		if err := NewStore().Restore(raw); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(raw)), "bytes/snapshot")
}

// BenchmarkWriteAtTargetSize changes one customer per iteration in a store of the target size.
func BenchmarkWriteAtTargetSize(b *testing.B) {
	s := NewStore()
	versions := make([]uint64, targetCustomers)
	write := func(i int) {
		command := newCommand(api.VerbPut, fmt.Sprint("request-", i), "amina")
		name := fmt.Sprint("customer-", i%targetCustomers)
		command.Kind, command.Ref, command.Names = api.KindCustomers, api.Ref(name), api.Names{"customer": name}
		command.Spec = json.RawMessage(fmt.Sprintf(`{"tokenDigests":["%064x"]}`, i))
		command.ResourceVersion = versions[i%targetCustomers]
		versions[i%targetCustomers] = s.apply(command).Revision
	}
	for i := range targetCustomers {
		write(i)
	}
	for i := targetCustomers; b.Loop(); i++ {
		write(i)
	}
}
