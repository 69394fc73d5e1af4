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

// printOverview asks all peers of a settings file how they are and prints what
// is degraded with its code.
func printOverview(ctx context.Context, settingsPath, output string) error {
	s, err := settings.Load(settingsPath)
	if err != nil {
		return err
	}
	all := status.QueryAll(ctx, s.Peers)
	if output == "json" {
		return printJSON(all)
	}
	slices.SortStableFunc(all, func(a, b *api.DaemonStatus) int {
		return strings.Compare(a.FailureDomain, b.FailureDomain)
	})
	for i, daemon := range all {
		if i == 0 || all[i-1].FailureDomain != daemon.FailureDomain {
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
		fmt.Fprintf(w, "    control: %s, revision %d, current: %t\n", controlPart(control), control.Revision, control.Current)
	}
	for _, replica := range daemon.Ledger {
		fmt.Fprintf(w, "    ledger group %s: active: %t, epoch %d, %d records\n", replica.Group, replica.Active, replica.Epoch, replica.Records)
	}
	for _, degraded := range daemon.Degraded {
		fmt.Fprintf(w, "    DEGRADED %v\n", degraded)
	}
}

// controlPart returns the part that the instance's replica plays in its group.
func controlPart(control *api.ControlStatus) string {
	for _, replica := range control.Replicas {
		if replica.ID == control.Replica {
			return replicaPart(replica)
		}
	}
	return "no member"
}
