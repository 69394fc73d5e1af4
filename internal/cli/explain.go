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
		synopsis: "Joins the log lines of daemons into the story of one request",
		usage:    "REQUEST-ID FILE...",
		run: func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return usageError("a request ID and at least one log are needed")
			}
			return runExplain(args[0], args[1:])
		},
	}
}

func runExplain(id string, paths []string) error {
	story := &explain.Trace{ID: id}
	for _, path := range paths {
		if err := readLog(story, path); err != nil {
			return err
		}
	}
	if err := story.Print(os.Stdout); err != nil {
		return err
	}
	if len(story.Lines) == 0 {
		return api.FieldErrorf(api.CodeResourceNotFound, "requestId", "no line names %q", id)
	}
	return nil
}

func readLog(story *explain.Trace, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return api.FieldErrorf(api.CodeUsage, "file", "%v", err)
	}
	defer func() { _ = file.Close() }()
	return errors.Wrap(story.Read(file), path)
}
