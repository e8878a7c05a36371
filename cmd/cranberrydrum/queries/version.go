package queries

import (
	"runtime/debug"

	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"github.com/spf13/cobra"
)

// build describes the binary.
type build struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
}

// Version prints the version of the command line.
func Version(env *cli.Env) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of this binary",
		Args:  cli.Args(),
		RunE: func(*cobra.Command, []string) error {
			b := readBuild()
			return env.PrintText(b, "cranberrydrum "+b.Version+" "+b.Revision+" "+b.Go+"\n")
		},
	}
}

// readBuild returns what the Go toolchain recorded; parts of it are missing
// in builds outside of a repository.
func readBuild() build {
	b := build{Version: "unknown", Revision: "unknown", Go: "unknown"}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return b
	}
	b.Version = info.Main.Version
	b.Go = info.GoVersion
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			b.Revision = s.Value
		}
	}
	return b
}
