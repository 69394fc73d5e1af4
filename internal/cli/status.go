package cli

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"peridotwinch.example/peridotwinch/api"
)

func statusCommand() *command {
	var client clientFlags
	var settingsPath string
	return &command{
		name:     "status",
		group:    groupOperator,
		synopsis: "Prints the status of all daemons, of control, or of the last change of a resource",
		usage:    "-settings FILE | [-control ADDRESS[,ADDRESS]] [KIND NAME]",
		setFlags: func(f *flag.FlagSet) {
			client.set(f)
			f.StringVar(&settingsPath, "settings", "", "settings file whose peers are queried for their status")
		},
		run: func(ctx context.Context, args []string) error {
			if settingsPath != "" {
				return printOverview(ctx, settingsPath, client.output)
			}
			if len(args) == 0 {
				return printControlStatus(ctx, &client)
			}
			kind, ref, err := kindAndRef(args)
			if err != nil {
				return err
			}
			resource, err := client.client().Get(ctx, kind, ref)
			if err != nil {
				return err
			}
			return printStatus(&client, resource)
		},
	}
}

func printStatus(flags *clientFlags, resource *api.Resource) error {
	status := resource.Status
	if flags.output == "json" {
		return printJSON(status)
	}
	fmt.Printf("%s at revision %d\n", status.Phase, resource.ResourceVersion)
	if status.Reason != "" {
		fmt.Printf("  %s\n", status.Reason)
	}
	for _, domain := range status.FailureDomains {
		fmt.Printf("  %s applies revision %d\n", domain.FailureDomain, domain.Revision)
	}
	for _, router := range status.Lacking {
		fmt.Printf("  %s still lacks it\n", router)
	}
	for _, router := range status.Unheard {
		fmt.Printf("  %s is not heard\n", router)
	}
	return nil
}

func printControlStatus(ctx context.Context, flags *clientFlags) error {
	status, err := flags.client().ControlStatus(ctx)
	if err != nil {
		return err
	}
	if flags.output == "json" {
		return printJSON(status)
	}
	fmt.Printf("%s at revision %d, current: %t\n", status.Instance, status.Revision, status.Current)
	if status.Removed {
		fmt.Println("  the group has replaced this replica")
	}
	for _, replica := range status.Replicas {
		fmt.Printf("  replica %016x on %s: %s\n", replica.ID, replica.Instance, replicaRole(replica))
	}
	for _, domain := range status.EvacuatedDomains {
		fmt.Printf("  failure domain %s is evacuated\n", domain)
	}
	if f := status.Followers; f != nil {
		fmt.Printf("  %d routers follow at generation %d, %d of them directly\n", f.Routers, f.Generation, f.Direct)
		if f.LowestGeneration < f.Generation {
			fmt.Printf("  furthest behind: %s at generation %d, through %s\n", f.LowestRouter, f.LowestGeneration, strings.Join(f.LowestPath, ", "))
		}
	}
	for _, router := range status.Routers {
		fmt.Printf("  router %s in %s: revision %d, heard: %t\n", router.Instance, router.FailureDomain, router.Revision, router.Heard)
	}
	return nil
}

func replicaRole(replica api.ReplicaStatus) string {
	switch {
	case replica.Leader:
		return "leader"
	case replica.Learner:
		return "learner"
	}
	return "voter"
}
