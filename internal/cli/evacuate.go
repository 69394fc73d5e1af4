package cli

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/uuid"
)

func evacuateCommand() *command {
	var client clientFlags
	var end bool
	return &command{
		name:     "evacuate",
		group:    groupOperator,
		synopsis: "Orders that no further requests are sent to the backend servers of a failure domain, or withdraws that order",
		usage:    "[-control ADDRESS[,ADDRESS]] [-end] DOMAIN",
		setFlags: func(f *flag.FlagSet) {
			client.set(f)
			f.BoolVar(&end, "end", false, "withdraw the order")
		},
		run: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("the argument DOMAIN is required")
			}
			order := client.client().Evacuate
			if end {
				order = client.client().Reinstate
			}
			list, err := order(ctx, args[0], uuid.NewString())
			if err != nil {
				return err
			}
			if client.output == "json" {
				return printJSON(list)
			}
			fmt.Printf("%d evacuated failure domains at revision %d\n", len(list.Items), list.Revision)
			for _, domain := range list.Items {
				fmt.Printf("  %s since %s by %s\n", domain.Domain, domain.Since.Format("2006-01-02T15:04:05Z07:00"), domain.Operator)
			}
			return nil
		},
	}
}
