package main

import (
	"context"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"sassafrasfield/internal/model"
	"sassafrasfield/internal/settings"
)

// modelCommand simulates load patterns under policies in the model of the
// engines.
func modelCommand(app *kingpin.Application) command {
	cmd := app.Command("model", "Play load patterns under policies in virtual time, and write a table and a plot. Example: sf-load model examples/model/splits.toml")
	file := cmd.Arg("study", "TOML file with patterns, policies and seeds.").Required().String()
	out := cmd.Flag("out", "Folder for the results.").Default("out").String()
	return command{name: cmd.FullCommand(), action: func(context.Context) error {
		study := &model.Study{}
		if err := settings.Load(*file, study); err != nil {
			return err
		}
		return writeStudy(*out, study.Run())
	}}
}

// writeStudy writes the table of results to standard output and to a folder, and
// the plot to that folder.
func writeStudy(out string, results []*model.Result) error {
	if err := os.MkdirAll(out, 0o755); err != nil {
		return errors.Wrap(err, "sf-load")
	}
	table, err := os.Create(filepath.Join(out, "model.tsv"))
	if err != nil {
		return errors.Wrap(err, "sf-load")
	}
	defer table.Close()
	if err := model.WriteTable(table, results); err != nil {
		return err
	}
	if err := model.WriteTable(os.Stdout, results); err != nil {
		return err
	}
	return model.Plot(filepath.Join(out, "model.svg"), results)
}
