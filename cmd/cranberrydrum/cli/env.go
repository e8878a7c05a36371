package cli

import (
	"cmp"
	"io"
	"os"
	"strings"
	"time"

	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/scheduler/rules"
	"github.com/spf13/cobra"
)

// Env is what a command sees of the process.
type Env struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(string) string
	// Checks decide exactly whether guarantees fit, for local checks of rules.
	Checks []rules.GuaranteeCheck

	servers   []string
	tokenFile string
	timeout   time.Duration
	output    string
}

// Formats of the output.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// Bind adds the global flags to the root command.
func (e *Env) Bind(root *cobra.Command) {
	flags := root.PersistentFlags()
	flags.StringSliceVar(&e.servers, "server", nil, "servers as IP address:port, tried in turn only while nothing was sent (default: "+EnvServer+")")
	flags.StringVar(&e.tokenFile, "token-file", "", "file with the bearer token (default: the token in "+EnvToken+")")
	flags.DurationVar(&e.timeout, "timeout", api.DefaultTimeout, "bound on one exchange with a server")
	flags.StringVarP(&e.output, "output", "o", formatTable, "output format: table or json")
}

// CheckFlags refuses global flags with values that are not allowed.
func (e *Env) CheckFlags() error {
	if e.output != formatTable && e.output != formatJSON {
		return &UsageError{Reason: "--output must be table or json"}
	}
	if e.timeout <= 0 {
		return &UsageError{Reason: "--timeout must be positive"}
	}
	return nil
}

// JSON reports whether the output is JSON.
func (e *Env) JSON() bool { return e.output == formatJSON }

// Client returns a client for the given servers.
func (e *Env) Client() (*api.Client, error) {
	servers, token, err := e.Access()
	if err != nil {
		return nil, err
	}
	return api.NewClient(api.ClientConfig{Servers: servers, Token: token, Timeout: e.timeout})
}

// Fetch runs a query on the given servers.
func Fetch[T any](e *Env, query func(*api.Client) (T, error)) (T, error) {
	client, err := e.Client()
	if err != nil {
		var none T
		return none, err
	}
	result, err := query(client)
	return result, queryError(err)
}

// Access returns the given servers and the token for them.
func (e *Env) Access() (servers []string, token string, err error) {
	servers = e.servers
	if len(servers) == 0 {
		split := func(r rune) bool { return r == ',' || r == ' ' }
		servers = strings.FieldsFunc(e.Getenv(EnvServer), split)
	}
	if len(servers) == 0 {
		return nil, "", &UsageError{Reason: "no server: use --server or " + EnvServer}
	}
	token, err = e.token()
	return servers, token, err
}

func (e *Env) token() (string, error) {
	if e.tokenFile == "" {
		return e.Getenv(EnvToken), nil
	}
	text, err := e.ReadFile(e.tokenFile)
	return strings.TrimSpace(string(text)), err
}

// Author returns the person who applies a change.
func (e *Env) Author(flag string) string {
	return cmp.Or(flag, e.Getenv(EnvAuthor), e.Getenv("USER"))
}

// ReadFile reads a file, or the standard input for "-".
func (e *Env) ReadFile(name string) ([]byte, error) {
	if name == "-" {
		data, err := io.ReadAll(e.Stdin)
		return data, fileError("standard input", err)
	}
	data, err := os.ReadFile(name)
	return data, fileError(name, err)
}

func fileError(name string, err error) error {
	if err == nil {
		return nil
	}
	return &FileError{Name: name, Cause: err}
}
