package cli

import (
	"context"
	"flag"
)

func ledgerReplaceCommand() *command {
	var flags ledgerFlags
	var oldInstance, newInstance string
	return &command{
		name:     "ledger-replace",
		group:    groupOperator,
		synopsis: "Replaces a member of a ledger group with another instance, or resumes an interrupted replacement",
		usage:    "-settings FILE -group GROUP -replace INSTANCE -by INSTANCE",
		setFlags: func(f *flag.FlagSet) {
			flags.set(f)
			f.StringVar(&oldInstance, "replace", "", "instance of the member to replace")
			f.StringVar(&newInstance, "by", "", "instance of the new member; its ledger replica must be empty")
		},
		run: func(ctx context.Context, _ []string) error {
			operator, _, err := flags.operator()
			if err != nil {
				return err
			}
			if oldInstance == "" || newInstance == "" {
				return usageError("-replace and -by are required")
			}
			if err := operator.Replace(ctx, oldInstance, newInstance); err != nil {
				return err
			}
			return printMembers(flags.output, operator.Status(ctx))
		},
	}
}
