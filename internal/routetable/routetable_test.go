package routetable_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/routetable"
)

// table returns a valid route table after modify has been applied to it.
func table(modify func(*routetable.Table)) *routetable.Table {
	t := &routetable.Table{
		Generation: 7,
		Routes: []routetable.Route{
			{Name: "all", Host: "a.example", Prefix: "/", Kind: routetable.KindSafe, Timeout: time.Second,
				Targets: []routetable.Target{{Pool: "p", Weight: 1}}},
			{Name: "part", Host: "a.example", Prefix: "/x/", Kind: routetable.KindUnsafe, Timeout: time.Second,
				Targets: []routetable.Target{{Pool: "p", Weight: 1}}, Public: true},
		},
		Pools:     []routetable.Pool{{Name: "p"}},
		Customers: []routetable.Customer{{Name: "c", Keys: []string{"k1", "k2"}}, {Name: "d", Keys: []string{"k3"}}},
	}
	modify(t)
	return t
}

// TestRouteWithLongestPrefixIsFound checks the look-ups of a valid table. The host of a
// request matches in any case and with a port.
func TestRouteWithLongestPrefixIsFound(t *testing.T) {
	g := NewWithT(t)
	valid := table(func(*routetable.Table) {})
	g.Expect(valid.Validate()).To(Succeed())
	g.Expect(valid.Route("A.example:8080", "/x/y").Name).To(Equal("part"))
	g.Expect(valid.Route("a.example", "/xy").Name).To(Equal("all"))
	g.Expect(valid.Route("b.example", "/x/")).To(BeNil())
	g.Expect(valid.Customer("k2").Name).To(Equal("c"))
	g.Expect(valid.Customer("")).To(BeNil())
	g.Expect(valid.NeedsKey(valid.Route("a.example", "/x/"))).To(BeFalse())
	g.Expect(valid.NeedsKey(valid.Route("a.example", "/"))).To(BeTrue())
}

// TestValidateNamesInvalidField checks that each kind of invalid table is rejected with
// the field that an operator has to correct.
func TestValidateNamesInvalidField(t *testing.T) {
	cases := map[string]func(*routetable.Table){
		"routes[1].prefix":          func(t *routetable.Table) { t.Routes[1].Prefix = "/" },
		"routes[0].prefix":          func(t *routetable.Table) { t.Routes[0].Prefix = "/open" },
		"routes[0].limit":           func(t *routetable.Table) { t.Routes[0].Timeout = 0 },
		"routes[0].kind":            func(t *routetable.Table) { t.Routes[0].Kind = "odd" },
		"routes[0].targets[0].pool": func(t *routetable.Table) { t.Routes[0].Targets[0].Pool = "q" },
		"routes[1].targets":         func(t *routetable.Table) { t.Routes[1].Targets[0].Weight = 0 },
		"customers[1].keys[0]":      func(t *routetable.Table) { t.Customers[1].Keys[0] = "k1" },
		"pools[1].name":             func(t *routetable.Table) { t.Pools = append(t.Pools, t.Pools[0]) },
	}
	for field, modify := range cases {
		t.Run(field, func(t *testing.T) {
			g := NewWithT(t)
			err := api.AsError(table(modify).Validate())
			g.Expect(err.Code).To(Equal(api.CodeRouteTable))
			g.Expect(err.Field).To(Equal(field))
		})
	}
}

// TestDocumentKeepsDeclaredSource guards against a document that loses fields that this
// version does not support, or the declared formatting.
func TestDocumentKeepsDeclaredSource(t *testing.T) {
	g := NewWithT(t)
	source := []byte(`{"Version": 3, "kept": "as it was sent"}`)
	document, err := routetable.NewDocument(3, source)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(document.DecodeSource()).To(Equal(source))
}

// TestValidateAllReportsEveryViolation guards against a check that stops at the first invalid field,
// and against a first violation that differs from the error with which control refuses the table.
func TestValidateAllReportsEveryViolation(t *testing.T) {
	g := NewWithT(t)
	invalid := table(func(t *routetable.Table) {
		t.Pools = append(t.Pools, t.Pools[0])
		t.Routes[0].Prefix, t.Routes[0].Timeout, t.Routes[0].Kind = "x", 0, "odd"
		t.Routes[1].Targets = []routetable.Target{{Pool: "q", Weight: -1}, {Pool: "r", Weight: 0}}
		t.Routes = append(t.Routes, t.Routes[1])
		t.Customers[1].Keys[0] = "k1"
	})
	violations := invalid.ValidateAll()
	var fields []string
	for _, v := range violations {
		g.Expect(v.Expected).NotTo(BeEmpty(), v.Err.Field)
		fields = append(fields, v.Err.Field)
	}
	g.Expect(fields).To(Equal([]string{
		"pools[1].name", "routes[0].prefix", "routes[0].limit", "routes[0].kind",
		"routes[1].targets[0].pool", "routes[1].targets[0].weight", "routes[1].targets[1].pool",
		"routes[2].targets[0].pool", "routes[2].targets[0].weight", "routes[2].targets[1].pool", "routes[2].prefix",
		"customers[1].keys[0]",
	}))
	g.Expect(invalid.Validate()).To(Equal(violations.First()))
	g.Expect(table(func(*routetable.Table) {}).ValidateAll()).To(BeEmpty())
}
