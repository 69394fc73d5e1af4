package relay_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/relay"
)

func TestSumNamesTheRouterFurthestBehind(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	own := relay.Applied{Generation: 7, Router: "router-1", Path: relay.Path{"control"}}
	behind := relay.Applied{Generation: 5, Router: "router-3", Path: relay.Path{"control", "router-1", "router-2"}}
	s := relay.NewSubtrees()
	s.Record("router-2", relay.Subtree{Routers: 3, Lowest: behind}, now)
	s.Record("router-4", relay.Subtree{Routers: 1, Lowest: relay.Applied{Generation: 7, Router: "router-4"}}, now)
	g.Expect(s.Sum(own, now)).To(Equal(relay.Subtree{Routers: 5, Lowest: behind}))
	g.Expect(s.Sum(relay.Applied{}, now)).To(Equal(relay.Subtree{Routers: 4, Lowest: behind}))
}

func TestFollowersThatStopReportingAreNotCounted(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	s := relay.NewSubtrees()
	s.Record("router-2", relay.Subtree{Routers: 1, Lowest: relay.Applied{Generation: 5, Router: "router-2"}}, now)
	g.Expect(s.Sum(relay.Applied{}, now.Add(3*time.Second))).To(Equal(relay.Subtree{}))
}
