// Command sfctl is the operators' command-line tool.
package main

import (
	"os"

	"sassafrasfield/internal/operatorcli"
)

func main() {
	cli := &operatorcli.CLI{Out: os.Stdout, Err: os.Stderr}
	os.Exit(cli.Run(os.Args[1:]))
}
