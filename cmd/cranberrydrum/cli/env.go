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

// Env is the process environment of a command: standard streams, environment
// variables and the values of the global flags.
type Env struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(string) string
	// Checks are exact feasibility checks of guarantees, used when rules are
	// checked locally.
	Checks []rules.GuaranteeCheck

	servers   []string
	tokenFile string
	timeout   time.Duration
	output    string
}

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// BindFlags adds the global flags to the root command.
func (e *Env) BindFlags(root *cobra.Command) {
	flags := root.PersistentFlags()
	flags.StringSliceVar(&e.servers, "server", nil, "servers as IP address:port; the next one is tried only if nothing was sent to the previous one (default: "+EnvServer+")")
	flags.StringVar(&e.tokenFile, "token-file", "", "file with the bearer token (default: the token in "+EnvToken+")")
	flags.DurationVar(&e.timeout, "timeout", api.DefaultTimeout, "time limit of one request to a server")
	flags.StringVarP(&e.output, "output", "o", formatTable, "output format: table or json")
}

// CheckFlags validates the values of the global flags.
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

// Client returns a client for the configured servers.
func (e *Env) Client() (*api.Client, error) {
	servers, token, err := e.Access()
	if err != nil {
		return nil, err
	}
	return api.NewClient(api.ClientConfig{Servers: servers, Token: token, Timeout: e.timeout})
}

// Fetch runs a query against the configured servers.
func Fetch[T any](e *Env, query func(*api.Client) (T, error)) (T, error) {
	client, err := e.Client()
	if err != nil {
		var zero T
		return zero, err
	}
	result, err := query(client)
	return result, queryError(err)
}

// Access returns the configured servers and the bearer token.
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

// Author returns the name of the person who applies a change: the flag if it is
// set, then EnvAuthor, then USER.
func (e *Env) Author(flag string) string {
	return cmp.Or(flag, e.Getenv(EnvAuthor), e.Getenv("USER"))
}

// ReadFile reads a file, or standard input if the name is "-".
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
