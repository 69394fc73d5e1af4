package cli

import (
	"context"
	"flag"
	"fmt"
	"time"

	"peridotwinch.example/peridotwinch/api"
)

func auditCommand() *command {
	var client clientFlags
	var revision uint64
	return &command{
		name:     "audit",
		group:    groupOperator,
		synopsis: "Prints the audit trail: time, operator and content of each resource change, and the evacuation orders",
		usage:    "[-control ADDRESS[,ADDRESS]] [-revision N]",
		setFlags: func(f *flag.FlagSet) {
			client.set(f)
			f.Uint64Var(&revision, "revision", 0, "revision after which to start; 0 for all retained changes")
		},
		run: func(ctx context.Context, _ []string) error {
			if client.output == "json" {
				return printAuditJSON(ctx, client.client(), revision)
			}
			err := client.client().Audit(ctx, revision, func(page *api.ChangeList) error {
				for _, change := range page.Items {
					printChange(change)
				}
				return nil
			})
			if err != nil {
				return err
			}
			orders, err := evacuationOrders(ctx, client.client())
			for _, order := range orders {
				fmt.Printf("%d\t%s\t%s\t%s\t%s %s\n", order.Revision, order.Time.Format(time.RFC3339Nano),
					order.Operator, order.RequestID, order.Verb, order.Domain)
			}
			return err
		},
	}
}

// printAuditJSON prints the audit trail as one list.
func printAuditJSON(ctx context.Context, client *api.Client, revision uint64) error {
	trail := &api.ChangeList{Items: []*api.Change{}}
	err := client.Audit(ctx, revision, func(page *api.ChangeList) error {
		trail.Revision = page.Revision
		trail.Items = append(trail.Items, page.Items...)
		return nil
	})
	if err == nil {
		trail.Evacuations, err = evacuationOrders(ctx, client)
	}
	if err != nil {
		return err
	}
	return printJSON(trail)
}

// evacuationOrders returns the audit trail of the evacuations, or none if the daemons do not join
// by seeds.
func evacuationOrders(ctx context.Context, client *api.Client) ([]api.EvacuationChange, error) {
	trail, err := client.EvacuationTrail(ctx)
	if api.AsError(err).Code == api.CodeKindUnknown || api.AsError(err).Code == api.CodeResourceNotFound {
		return nil, nil
	}
	return trail.Items, err
}

func printChange(change *api.Change) {
	fmt.Printf("%d\t%s\t%s\t%s\t%s %s %v\n", change.Revision, change.Time.Format(time.RFC3339Nano),
		change.Operator, change.RequestID, change.Verb, change.After.Kind, change.After.Names.Refs())
	if change.Before != nil {
		fmt.Printf("\tbefore\t%s\n", change.Before.Spec)
	}
	if !change.After.Deleted {
		fmt.Printf("\tafter\t%s\n", change.After.Spec)
	}
}
