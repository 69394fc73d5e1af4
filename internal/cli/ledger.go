package cli

import (
	"context"
	"flag"
	"fmt"
	"time"

	"peridotwinch.example/peridotwinch/internal/ledger"
	"peridotwinch.example/peridotwinch/internal/ledger/replica"
	"peridotwinch.example/peridotwinch/internal/settings"
)

// ledgerFlags are the flags that select a group of ledger replicas.
type ledgerFlags struct {
	settings string
	group    string
	output   string
}

func (l *ledgerFlags) set(f *flag.FlagSet) {
	f.StringVar(&l.settings, "settings", "", "settings file that lists the ledger replicas as peers")
	f.StringVar(&l.group, "group", string(ledger.FleetGroup), "ledger group: fleet, shard/NUMBER or domain/NAME")
	f.StringVar(&l.output, "o", "text", "output format: text or json")
}

func (l *ledgerFlags) operator() (*replica.Operator, *settings.Settings, error) {
	s, err := settings.Load(l.settings)
	if err != nil {
		return nil, nil, err
	}
	group := ledger.GroupID(l.group)
	if len(replica.MembersOf(s, group)) == 0 {
		return nil, nil, usageError("the settings list no ledger replica of group %q", l.group)
	}
	return replica.NewOperator(s, group), s, nil
}

func ledgerStatusCommand() *command {
	var flags ledgerFlags
	return &command{
		name:     "ledger-status",
		group:    groupOperator,
		synopsis: "Prints the state of each ledger replica of a group",
		usage:    "-settings FILE [-group GROUP]",
		setFlags: flags.set,
		run: func(ctx context.Context, _ []string) error {
			operator, _, err := flags.operator()
			if err != nil {
				return err
			}
			return printMembers(flags.output, operator.Status(ctx))
		},
	}
}

func printMembers(output string, members []replica.MemberStatus) error {
	if output == "json" {
		return printJSON(members)
	}
	for _, m := range members {
		if m.Error != "" {
			fmt.Printf("%s %s unreachable: %s\n", m.Instance, m.Address, m.Error)
			continue
		}
		fmt.Printf("%s %s %s generation %d epoch %d records %d members %v since %d%s\n",
			m.Instance, m.Address, m.Phase, m.Generation, m.Epoch, m.Records, m.Members, m.Since, memberNote(m))
	}
	return nil
}

// memberNote describes a replica that is not a member or has a pending membership change. It
// returns an empty string for any other replica.
func memberNote(m replica.MemberStatus) string {
	note := ""
	if !m.Member {
		note = ", not a member"
	}
	if m.Pending != nil {
		note += fmt.Sprintf(", changing to %v", m.Pending)
	}
	return note
}

func ledgerRestartCommand() *command {
	var flags ledgerFlags
	var quarantine time.Duration
	var force bool
	return &command{
		name:     "ledger-restart",
		group:    groupOperator,
		synopsis: "Restarts a ledger group after a majority of its replicas lost their disks",
		usage:    "-settings FILE [-group GROUP] [-quarantine DURATION] [-force]",
		setFlags: func(f *flag.FlagSet) {
			flags.set(f)
			f.BoolVar(&force, "force", false, "restart the group even if a majority of its replicas is active")
			f.DurationVar(&quarantine, "quarantine", -1, "how long claims of customers' own keys are not granted; timeouts.retentionMs if negative")
		},
		run: func(ctx context.Context, _ []string) error {
			operator, s, err := flags.operator()
			if err != nil {
				return err
			}
			if quarantine < 0 {
				quarantine = s.Timeouts.Retention()
			}
			if err := operator.Restart(ctx, quarantine, force); err != nil {
				return err
			}
			return printMembers(flags.output, operator.Status(ctx))
		},
	}
}
