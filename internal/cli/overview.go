package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/status"
)

// printOverview queries all peers of a settings file and prints their status by failure domain,
// with the code of each degraded condition.
func printOverview(ctx context.Context, settingsPath, output string) error {
	s, err := settings.Load(settingsPath)
	if err != nil {
		return err
	}
	daemons := status.QueryAll(ctx, s.Peers)
	if output == "json" {
		return printJSON(daemons)
	}
	slices.SortStableFunc(daemons, func(a, b *api.DaemonStatus) int {
		return strings.Compare(a.FailureDomain, b.FailureDomain)
	})
	for i, daemon := range daemons {
		if i == 0 || daemons[i-1].FailureDomain != daemon.FailureDomain {
			fmt.Println(daemon.FailureDomain)
		}
		printDaemon(os.Stdout, daemon)
	}
	return nil
}

func printDaemon(w io.Writer, daemon *api.DaemonStatus) {
	fmt.Fprintf(w, "  %s: %s\n", daemon.Instance, daemon.State)
	if router := daemon.Router; router != nil {
		fmt.Fprintf(w, "    router: revision %d\n", router.Revision)
		for _, pool := range router.Pools {
			fmt.Fprintf(w, "      pool %s: %d serving, %d draining, %d silent, load %d of %d slots\n",
				pool.Pool, pool.Serving, pool.Draining, pool.Silent, pool.Load, pool.Slots)
		}
	}
	if control := daemon.Control; control != nil {
		fmt.Fprintf(w, "    control: %s, revision %d, current: %t\n", controlRole(control), control.Revision, control.Current)
		for _, domain := range control.EvacuatedDomains {
			fmt.Fprintf(w, "      failure domain %s is evacuated\n", domain)
		}
	}
	for _, replica := range daemon.Ledger {
		fmt.Fprintf(w, "    ledger group %s: active: %t, epoch %d, %d records\n", replica.Group, replica.Active, replica.Epoch, replica.Records)
	}
	for _, degraded := range daemon.Degraded {
		fmt.Fprintf(w, "    DEGRADED %v\n", degraded)
	}
}

// controlRole returns the role of the instance's replica in the control group.
func controlRole(control *api.ControlStatus) string {
	for _, replica := range control.Replicas {
		if replica.ID == control.Replica {
			return replicaRole(replica)
		}
	}
	return "no member"
}
