package main

import (
	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/cmd/cranberrydrum/commands"
	"cranberrydrum.dev/cmd/cranberrydrum/queries"
	"github.com/spf13/cobra"
)

// newRoot returns the root command with all subcommands. Package commands holds
// the subcommands that change state and package queries the read-only ones, each
// in its own file.
func newRoot(env *cli.Env) *cobra.Command {
	root := cli.Group("cranberrydrum", "Operate a cranberrydrum deployment",
		rulesGroup(env),
		jobGroup(env),
		cli.Group("request", "Requests to services", commands.RequestSend(env)),
		cli.Group("members", "Members of the replicated logs", commands.MembersAdd(env), commands.MembersRemove(env), queries.MembersList(env)),
		cli.Group("domain", "Evacuate failure domains", commands.DomainEvacuate(env), commands.DomainRestore(env)),
		cli.Group("backend", "Change backend servers", commands.BackendDrain(env)),
		cli.Group("backends", "Show backend servers", queries.BackendsList(env)),
		cli.Group("workers", "Show workers", queries.WorkersList(env)),
		queries.Status(env),
		commands.Demo(env),
		commands.Bench(env),
		cli.Group("standin", "Stand-in backend servers and workers for trying out the system", commands.StandinExecutor(env), commands.StandinWorker(env)),
		queries.Version(env),
	)
	root.Long = "Operate a cranberrydrum deployment.\n\n" +
		"Exit status: 0 done, 1 refused or failed (the code is printed), 2 wrong usage,\n" +
		"3 the outcome is unknown because no complete response arrived."
	root.SilenceErrors = true
	root.SilenceUsage = true
	root.CompletionOptions.DisableDefaultCmd = true
	root.PersistentPreRunE = func(*cobra.Command, []string) error { return env.CheckFlags() }
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &cli.UsageError{Reason: err.Error()} })
	root.SetIn(env.Stdin)
	root.SetOut(env.Stdout)
	root.SetErr(env.Stderr)
	env.BindFlags(root)
	return root
}

func rulesGroup(env *cli.Env) *cobra.Command {
	return cli.Group("rules", "Rules of the deployment",
		commands.RulesApply(env),
		queries.RulesCheck(env),
		queries.RulesDiff(env),
		queries.RulesShow(env),
		queries.RulesHistory(env),
	)
}

func jobGroup(env *cli.Env) *cobra.Command {
	return cli.Group("job", "Jobs",
		commands.JobSubmit(env),
		commands.JobCancel(env),
		queries.JobList(env),
		queries.JobShow(env),
	)
}

// run executes the command given by args and returns the exit status.
func run(env *cli.Env, args []string) int {
	root := newRoot(env)
	root.SetArgs(args)
	err := root.Execute()
	if err != nil {
		env.Report(err)
	}
	return cli.ExitStatus(err)
}
