package queries

import (
	"strconv"
	"strings"

	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/daemon/api"
	"github.com/spf13/cobra"
)

// Status returns the command that shows the state of the deployment as seen by one
// host.
func Status(env *cli.Env) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the state of the deployment as seen by one host",
		Args:  cli.Args(),
		RunE: func(*cobra.Command, []string) error {
			status, err := cli.Fetch(env, func(c *api.Client) (api.StatusResponse, error) { return c.Status(false) })
			if err != nil {
				return err
			}
			if env.JSON() {
				return env.Print(status, cli.Table{})
			}
			return printSections(env, status)
		},
	}
}

// section is a table of the status output with its title.
type section struct {
	title string
	table cli.Table
}

func printSections(env *cli.Env, s api.StatusResponse) error {
	if err := env.PrintText(nil, hostLine(s.Host)); err != nil {
		return err
	}
	sections := []section{
		{"Configuration: version " + cli.Number(s.Config.Version) + ", digest " + s.Config.Digest, hostsTable(s.Config.Hosts)},
		{"Replicated logs", cli.MembersTable(s.Groups)},
		{"Backend servers", cli.BackendsTable(s.Backends)},
		{"Queues of this host", queuesTable(s.Queues)},
		{"Evacuated failure domains", evacuationsTable(s.Evacuations)},
		{"Quarantined workers", cli.WorkersTable(s.Quarantined)},
		{"Fragmentation", fragmentationTable(s.Fragmentation)},
		{"Refusals of this host since its start", refusalsTable(s.Refusals)},
	}
	for _, part := range sections {
		if err := printSection(env, part); err != nil {
			return err
		}
	}
	return nil
}

// printSection prints a section. An empty table is printed as "none", without its
// header.
func printSection(env *cli.Env, s section) error {
	if len(s.table.Rows) == 0 {
		return env.PrintText(nil, "\n"+s.title+": none\n")
	}
	if err := env.PrintText(nil, "\n"+s.title+"\n"); err != nil {
		return err
	}
	return env.Print(nil, s.table)
}

func hostLine(h api.HostStatus) string {
	state := "ready"
	if h.NotReady != "" {
		state = "not ready: " + h.NotReady
	}
	if h.Stopping {
		state = "stopping"
	}
	return strings.Join([]string{
		"Host " + h.ID + " in " + h.FailureDomain + " (" + h.Region + ")",
		state,
		"configuration read from " + string(h.Readiness.Source),
		"up " + cli.Duration(h.UptimeMS),
		"build " + h.Build,
	}, ", ") + "\n"
}

func hostsTable(hosts []api.HostConfig) cli.Table {
	t := cli.Table{Header: []string{"HOST", "FAILURE DOMAIN", "VERSION", "REACHABLE", "SEEN"}}
	for _, h := range hosts {
		t.Rows = append(t.Rows, []string{h.Host, h.FailureDomain, cli.Number(h.Version), strconv.FormatBool(h.Reachable), cli.Duration(h.SeenMS)})
	}
	return t
}

func queuesTable(queues []api.QueueStatus) cli.Table {
	t := cli.Table{Header: []string{"SERVICE", "CLASS", "QUEUED", "IN FLIGHT"}}
	for _, q := range queues {
		t.Rows = append(t.Rows, []string{q.Service, string(q.Class), cli.Number(q.Queued), cli.Number(q.InFlight)})
	}
	return t
}

func evacuationsTable(evacuations []api.EvacuationStatus) cli.Table {
	t := cli.Table{Header: []string{"FAILURE DOMAIN", "FOR"}}
	for _, e := range evacuations {
		t.Rows = append(t.Rows, []string{e.FailureDomain, cli.Duration(e.AgeMS)})
	}
	return t
}

func fragmentationTable(domains []api.Fragmentation) cli.Table {
	t := cli.Table{Header: []string{"FAILURE DOMAIN", "TOTAL", "FREE", "LARGEST GANG", "INDEX"}}
	for _, f := range domains {
		const decimals = 3
		index := strconv.FormatFloat(f.Index, 'f', decimals, 64)
		t.Rows = append(t.Rows, []string{f.FailureDomain, cli.Number(f.Total), cli.Number(f.Free), cli.Number(f.LargestGang), index})
	}
	return t
}

func refusalsTable(refusals []api.RefusalCount) cli.Table {
	t := cli.Table{Header: []string{"CODE", "COUNT"}}
	for _, r := range refusals {
		t.Rows = append(t.Rows, []string{string(r.Code), cli.Number(r.Count)})
	}
	return t
}
