package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"sassafrasfield/internal/bench"
)

// rolesCommand compares ways to assign roles to engines.
func rolesCommand(app *kingpin.Application) command {
	cmd := app.Command("roles", "Set fixed roles, the role policy and mixed engines beside each other, on fleets that it starts.")
	bin := cmd.Flag("bin", "Folder of the built programs.").Default("bin").String()
	out := cmd.Flag("out", "Folder for the results.").Default("out").String()
	seeds := cmd.Flag("seed", "Seed; repeat for more.").Default("1", "2", "3").Uint64List()
	phase := cmd.Flag("phase", "Length of each phase of the swing.").Default("20s").Duration()
	phases := cmd.Flag("phases", "Phases, of short and long prompts in turn.").Default("4").Int()
	rate := cmd.Flag("rate", "Completions a second.").Default("16").Float64()
	token := cmd.Flag("token", "Bound on the mean time between tokens of a good answer.").Default("50ms").Duration()
	instances := cmd.Flag("instances", "Instances of the system.").Default("3").Int()
	engines := cmd.Flag("engines", "Engines.").Default("10").Int()
	deployments := bench.Deployments()
	name := cmd.Flag("deployment", "Deployment whose load is offered.").Default(deployments[0].Name).Enum(deployments[0].Name, deployments[1].Name)
	return command{name: cmd.FullCommand(), action: func(ctx context.Context) error {
		dir, err := os.MkdirTemp("", "sf-bench-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		options := bench.RoleOptions{
			Bin: *bin, Dir: dir, Out: *out, Seeds: *seeds, Deployment: deployments[0], Instances: *instances,
			Engines: *engines, Phase: *phase, Phases: *phases, Rate: *rate, MeanInterToken: *token, Log: os.Stderr,
		}
		if *name == deployments[1].Name {
			options.Deployment = deployments[1]
		}
		return bench.CompareRoles(ctx, options)
	}}
}
