package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"peridotwinch.example/peridotwinch/api"
)

func watchCommand() *command {
	var client clientFlags
	var revision uint64
	return &command{
		name:     "watch",
		group:    groupOperator,
		synopsis: "Prints the changes of a kind or a resource, and when each comes into force or fails",
		usage:    "[-control ADDRESS[,ADDRESS]] [-revision N] KIND [NAME]",
		setFlags: func(f *flag.FlagSet) {
			client.set(f)
			f.Uint64Var(&revision, "revision", 0, "revision after which to start; 0 for the current revision")
		},
		run: func(ctx context.Context, args []string) error {
			if len(args) < 1 || len(args) > 2 {
				return usageError("the arguments KIND [NAME] are required")
			}
			ref := api.Ref("")
			if len(args) == 2 {
				ref = api.Ref(args[1])
			}
			return watch(ctx, &client, api.Kind(args[0]), ref, revision)
		},
	}
}

func watch(ctx context.Context, flags *clientFlags, kind api.Kind, ref api.Ref, revision uint64) error {
	client := flags.client()
	if revision == 0 {
		list, err := client.List(ctx, kind)
		if err != nil {
			return err
		}
		revision = list.Revision
	}
	err := client.Watch(ctx, kind, ref, revision, func(event *api.Event) error {
		return printEvent(flags.output, event)
	})
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func printEvent(output string, event *api.Event) error {
	if output == "json" {
		return json.NewEncoder(os.Stdout).Encode(event)
	}
	if event.Resource == nil {
		return nil
	}
	resource := event.Resource
	switch {
	case event.Type == api.EventStatus:
		fmt.Printf("%d\t%v\t%s %s\n", resource.ResourceVersion, resource.Names.Refs(), resource.Status.Phase, resource.Status.Reason)
	case resource.Deleted:
		fmt.Printf("%d\t%v\tdeleted\n", event.Revision, resource.Names.Refs())
	default:
		fmt.Printf("%d\t%v\tchanged\n", event.Revision, resource.Names.Refs())
	}
	return nil
}
