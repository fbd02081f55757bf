// Package operatorcli implements the commands of sfctl. They call the operator
// service of an sf-control and print its responses as tables or JSON.
package operatorcli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"time"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/gen/sf/v1/sfv1connect"
	"sassafrasfield/internal/intent"
	"sassafrasfield/internal/program"
)

// help is the description that sfctl prints in its help text.
const help = `Declare intents, read their plans, confirm them and follow them.

Exit codes: 0 done or accepted; 1 the call failed; 2 wrong arguments; 3 refused, nothing was changed; 4 the outcome is not known, ask again.

Completion for bash: eval "$(sfctl --completion-script-bash)"; for zsh with --completion-script-zsh.`

// CLI is one invocation of sfctl.
type CLI struct {
	Out io.Writer
	Err io.Writer

	control  string
	output   string
	operator string
	timeout  time.Duration
	file     string
	planID   string
	follow   bool
	limit    int32
}

// exitError makes sfctl exit with a code. The reason has already been printed.
type exitError int

// Error implements error.
func (e exitError) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// Run parses the arguments, runs the command and returns the exit code.
func (c *CLI) Run(args []string) int {
	app := kingpin.New("sfctl", help)
	app.Version(program.Version())
	app.HelpFlag.Short('h')
	app.Flag("control", "Address of any sf-control (host:port).").Envar("SFCTL_CONTROL").StringVar(&c.control)
	app.Flag("output", "Form of the output.").Short('o').Default("table").EnumVar(&c.output, "table", "json")
	app.Flag("operator", "Name that the history shows.").Default(userName()).StringVar(&c.operator)
	app.Flag("timeout", "Bound on each call, and on following.").Default("2m").DurationVar(&c.timeout)
	commands := c.commands(app)
	name, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(c.Err, "sfctl: %v\n", err)
		return program.ExitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	return c.exitCode(commands[name](ctx))
}

func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func (c *CLI) commands(app *kingpin.Application) map[string]func(context.Context) error {
	commands := map[string]func(context.Context) error{}
	add := func(name, help string, run func(context.Context) error) *kingpin.CmdClause {
		cmd := app.Command(name, help)
		commands[cmd.FullCommand()] = run
		return cmd
	}
	check := add("check", "Check an intent file by itself; needs no sf-control.", c.check)
	check.Arg("file", "Intent file (TOML).").Required().ExistingFileVar(&c.file)
	declare := add("declare", "Declare an intent and print its plan. Nothing changes yet.", c.declare)
	declare.Arg("file", "Intent file (TOML).").Required().ExistingFileVar(&c.file)
	show := add("plan", "Print a plan with the state of its steps.", c.plan)
	show.Arg("plan", "Plan id.").Required().StringVar(&c.planID)
	show.Flag("follow", "Wait until the plan is done and in force everywhere.").Short('f').BoolVar(&c.follow)
	confirm := add("confirm", "Confirm a plan.", c.confirm)
	confirm.Arg("plan", "Plan id.").Required().StringVar(&c.planID)
	confirm.Flag("follow", "Wait until the plan is done and in force everywhere.").Short('f').BoolVar(&c.follow)
	cancel := add("cancel", "Cancel a plan.", c.cancel)
	cancel.Arg("plan", "Plan id.").Required().StringVar(&c.planID)
	add("status", "Print the newest version and what runs.", c.status)
	history := add("history", "Print the accepted versions, newest first.", c.history)
	history.Flag("limit", "How many.").Default("20").Int32Var(&c.limit)
	add("engines", "Print the engines.", c.engines)
	add("instances", "Print the instances and the versions they have in force.", c.instances)
	return commands
}

func (c *CLI) client() (sfv1connect.OperatorServiceClient, error) {
	if c.control == "" {
		return nil, errors.New("set --control or SFCTL_CONTROL to the address of an sf-control")
	}
	return sfv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+c.control), nil
}

func (c *CLI) exitCode(err error) int {
	var exit exitError
	switch {
	case err == nil:
		return program.ExitOK
	case errors.As(err, &exit):
		return int(exit)
	default:
		fmt.Fprintf(c.Err, "sfctl: %v\n", err)
		return program.ExitFailed
	}
}

func (c *CLI) check(context.Context) error {
	data, err := os.ReadFile(c.file)
	if err != nil {
		return errors.WithStack(err)
	}
	_, findings := intent.Parse(c.file, data)
	for _, f := range findings {
		fmt.Fprintln(c.Err, f)
	}
	if findings.Failed() {
		return exitError(program.ExitRefused)
	}
	fmt.Fprintf(c.Out, "%s: no findings that forbid it\n", c.file)
	return nil
}

func (c *CLI) declare(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	data, err := os.ReadFile(c.file)
	if err != nil {
		return errors.WithStack(err)
	}
	response, err := client.Declare(ctx, connect.NewRequest(&sfv1.DeclareRequest{
		File: c.file, Intent: data, Operator: c.operator,
	}))
	if err != nil {
		return err
	}
	if response.Msg.Plan == nil {
		if done, err := c.json(response.Msg); done && err != nil {
			return err
		}
		c.printFindings(response.Msg.Findings)
		return exitError(program.ExitRefused)
	}
	c.printFindings(response.Msg.Findings)
	if err := c.printPlan(response.Msg.Plan); err != nil {
		return err
	}
	if len(response.Msg.Plan.Refusals) > 0 {
		return exitError(program.ExitRefused)
	}
	return nil
}

func (c *CLI) plan(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if c.follow {
		return c.followPlan(ctx, client)
	}
	response, err := client.GetPlan(ctx, connect.NewRequest(&sfv1.GetPlanRequest{PlanId: c.planID}))
	if err != nil {
		return err
	}
	return c.printPlan(response.Msg.Plan)
}

func (c *CLI) confirm(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	response, err := c.confirmOrReadBack(ctx, client)
	if err != nil {
		return err
	}
	if err := c.printConfirm(response); err != nil {
		return err
	}
	switch response.Outcome {
	case outcomeAccepted:
	case outcomeUnknown:
		return exitError(program.ExitUnknown)
	default:
		return exitError(program.ExitRefused)
	}
	if c.follow {
		return c.followPlan(ctx, client)
	}
	return nil
}

func (c *CLI) cancel(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	response, err := client.Cancel(ctx, connect.NewRequest(&sfv1.CancelRequest{PlanId: c.planID, Operator: c.operator}))
	if err != nil {
		return err
	}
	if err := c.printCancel(response.Msg); err != nil {
		return err
	}
	switch response.Msg.Outcome {
	case outcomeAccepted:
		return nil
	case outcomeUnknown:
		return exitError(program.ExitUnknown)
	default:
		return exitError(program.ExitRefused)
	}
}
