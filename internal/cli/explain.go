package cli

import (
	"context"
	"os"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/explain"
)

func explainCommand() *command {
	return &command{
		name:     "explain",
		group:    groupOperator,
		synopsis: "Prints the trace of a request from the log files of the daemons",
		usage:    "REQUEST-ID FILE...",
		run: func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return usageError("a request ID and at least one log file are required")
			}
			return runExplain(args[0], args[1:])
		},
	}
}

func runExplain(id string, paths []string) error {
	trace := &explain.Trace{ID: id}
	for _, path := range paths {
		if err := readLog(trace, path); err != nil {
			return err
		}
	}
	if err := trace.Print(os.Stdout); err != nil {
		return err
	}
	if len(trace.Lines) == 0 {
		return api.FieldErrorf(api.CodeResourceNotFound, "requestId", "no log line contains request ID %q", id)
	}
	return nil
}

func readLog(trace *explain.Trace, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return api.FieldErrorf(api.CodeUsage, "file", "%v", err)
	}
	defer func() { _ = file.Close() }()
	return errors.Wrap(trace.Read(file), path)
}
