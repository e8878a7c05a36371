package queries

import (
	"runtime/debug"

	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"github.com/spf13/cobra"
)

// buildInfo describes the build of the binary.
type buildInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
}

// Version returns the command that prints the version of this binary.
func Version(env *cli.Env) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of this binary",
		Args:  cli.Args(),
		RunE: func(*cobra.Command, []string) error {
			b := readBuildInfo()
			return env.PrintText(b, "cranberrydrum "+b.Version+" "+b.Revision+" "+b.Go+"\n")
		},
	}
}

// readBuildInfo returns the build information recorded by the Go toolchain. The
// revision is missing in builds outside of a repository.
func readBuildInfo() buildInfo {
	b := buildInfo{Version: "unknown", Revision: "unknown", Go: "unknown"}
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
