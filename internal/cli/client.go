package cli

import (
	"encoding/json"
	"flag"
	"os"
	"os/user"

	"peridotwinch.example/peridotwinch/api"
)

// DefaultOperators is the default address of the resource API.
const DefaultOperators = "127.0.0.1:8090"

// clientFlags are the flags of the commands that call the resource API.
type clientFlags struct {
	control  string
	operator string
	output   string
}

func (c *clientFlags) set(f *flag.FlagSet) {
	f.StringVar(&c.control, "control", DefaultOperators, "addresses of control instances' resource APIs, separated by commas")
	f.StringVar(&c.operator, "operator", currentUser(), "operator name to record in the audit trail")
	f.StringVar(&c.output, "o", "text", "output format: text or json")
}

func (c *clientFlags) client() *api.Client { return api.NewClient(c.control, c.operator) }

func currentUser() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// kindAndRef parses the arguments KIND NAME.
func kindAndRef(args []string) (api.Kind, api.Ref, error) {
	if len(args) != 2 {
		return "", "", usageError("the arguments KIND NAME are required")
	}
	return api.Kind(args[0]), api.Ref(args[1]), nil
}
