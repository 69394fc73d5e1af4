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
		synopsis: "Prints a resource, or lists all resources of a kind",
		usage:    "[-control ADDRESS[,ADDRESS]] KIND [NAME]",
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
		synopsis: "Deletes a resource",
		usage:    "[-control ADDRESS[,ADDRESS]] [-version N] KIND NAME",
		setFlags: func(f *flag.FlagSet) {
			client.set(f)
			f.Uint64Var(&version, "version", 0, "delete only this resourceVersion; 0 for any version")
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
