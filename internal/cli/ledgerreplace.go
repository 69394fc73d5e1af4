package cli

import (
	"context"
	"flag"
)

func ledgerReplaceCommand() *command {
	var flags ledgerFlags
	var old, by string
	return &command{
		name:     "ledger-replace",
		group:    groupOperator,
		synopsis: "Replaces a member of a ledger group by another instance; resumes an interrupted change",
		usage:    "-settings FILE -group GROUP -replace INSTANCE -by INSTANCE",
		setFlags: func(f *flag.FlagSet) {
			flags.set(f)
			f.StringVar(&old, "replace", "", "the member to replace")
			f.StringVar(&by, "by", "", "the instance that takes its place; its replica must be empty")
		},
		run: func(ctx context.Context, _ []string) error {
			operator, _, err := flags.operator()
			if err != nil {
				return err
			}
			if old == "" || by == "" {
				return usageError("-replace and -by are needed")
			}
			if err := operator.Replace(ctx, old, by); err != nil {
				return err
			}
			return printMembers(flags.output, operator.Status(ctx))
		},
	}
}
