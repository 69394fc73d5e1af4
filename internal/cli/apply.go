package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/jsonx"
)

func applyCommand() *command {
	var client clientFlags
	return &command{
		name:     "apply",
		group:    groupOperator,
		synopsis: "Creates or replaces the resources in JSON files",
		usage:    "[-control ADDRESS[,ADDRESS]] FILE...",
		setFlags: client.set,
		run: func(ctx context.Context, args []string) error {
			if len(args) == 0 {
				return usageError("at least one resource file is required")
			}
			for _, path := range args {
				if err := applyFile(ctx, &client, path); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func applyFile(ctx context.Context, flags *clientFlags, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return usageError("%v", err)
	}
	defer func() { _ = file.Close() }()
	resources, err := readResources(file)
	if err != nil {
		return err
	}
	return applyResources(ctx, flags, resources)
}

// readResources reads a sequence of resources, each a JSON value, and refuses unknown fields.
func readResources(r io.Reader) ([]*api.Resource, error) {
	sequence := jsonx.NewSequence(r)
	var out []*api.Resource
	for {
		resource := &api.Resource{}
		err := sequence.Next(resource)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, api.Errorf(api.CodeResourceInvalid, "resource %d: %v", len(out)+1, err)
		}
		if len(resource.Names) == 0 {
			return nil, api.FieldErrorf(api.CodeResourceInvalid, "names", "resource %d has no name", len(out)+1)
		}
		out = append(out, resource)
	}
}

func applyResources(ctx context.Context, flags *clientFlags, resources []*api.Resource) error {
	for _, resource := range resources {
		stored, err := flags.client().Apply(ctx, resource)
		if err != nil {
			return err
		}
		if err := printApplied(flags.output, resource.Names.Refs()[0], stored); err != nil {
			return err
		}
	}
	return nil
}

func printApplied(output string, ref api.Ref, stored *api.Resource) error {
	if output == "json" {
		return printJSON(stored)
	}
	_, err := fmt.Printf("%s %s: %s at revision %d\n", stored.Kind, ref, stored.Status.Phase, stored.ResourceVersion)
	return err
}
