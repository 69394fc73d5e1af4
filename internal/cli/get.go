package cli

import (
	"context"
	"flag"
	"fmt"

	"peridotwinch.example/peridotwinch/api"
)

func getCommand() *command {
	var client clientFlags
	return &command{
		name:     "get",
		group:    groupOperator,
		synopsis: "Prints a resource, or all of a kind",
		usage:    "[-control ADDRESS] KIND [NAME]",
		setFlags: client.set,
		run: func(ctx context.Context, args []string) error {
			if len(args) == 1 {
				return list(ctx, &client, api.Kind(args[0]))
			}
			kind, ref, err := kindAndRef(args)
			if err != nil {
				return err
			}
			resource, err := client.client().Get(ctx, kind, ref)
			if err != nil {
				return err
			}
			return printJSON(resource)
		},
	}
}

func list(ctx context.Context, flags *clientFlags, kind api.Kind) error {
	resources, err := flags.client().List(ctx, kind)
	if err != nil {
		return err
	}
	if flags.output == "json" {
		return printJSON(resources)
	}
	for _, resource := range resources.Items {
		fmt.Printf("%d\t%v\n", resource.ResourceVersion, resource.Names.Refs())
	}
	return nil
}

func deleteCommand() *command {
	var client clientFlags
	var version uint64
	return &command{
		name:     "delete",
		group:    groupOperator,
		synopsis: "Removes a resource",
		usage:    "[-control ADDRESS] [-version N] KIND NAME",
		setFlags: func(f *flag.FlagSet) {
			client.set(f)
			f.Uint64Var(&version, "version", 0, "resourceVersion that the resource must have; 0 for any")
		},
		run: func(ctx context.Context, args []string) error {
			kind, ref, err := kindAndRef(args)
			if err != nil {
				return err
			}
			return client.client().Delete(ctx, kind, ref, version, "")
		},
	}
}

func statusCommand() *command {
	var client clientFlags
	return &command{
		name:     "status",
		group:    groupOperator,
		synopsis: "Tells how far the last change of a resource has spread",
		usage:    "[-control ADDRESS] KIND NAME",
		setFlags: client.set,
		run: func(ctx context.Context, args []string) error {
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
