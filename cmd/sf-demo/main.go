// Command sf-demo runs a demonstration of the system with real processes and
// prints the properties that it checked.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"sassafrasfield/internal/demo"
	usersplatform "sassafrasfield/platform/demo"
)

// timeout bounds the whole demo.
const timeout = 45 * time.Second

func main() {
	app := kingpin.New("sf-demo", "Run the main job of the system with real processes.")
	root := app.Flag("root", "Folder of the repository.").Default(".").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	os.Exit(run(*root))
}

func run(root string) int {
	dir, err := os.MkdirTemp("", "sf-demo-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "sf-demo:", err)
		return 1
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	bin := filepath.Join(root, "bin")
	d := &demo.Demo{Bin: bin, Root: root, Dir: dir, Out: os.Stdout}
	err = d.Run(ctx)
	if err == nil {
		err = usersplatform.Run(ctx, bin, dir, os.Stdout)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "sf-demo: %v\nlogs are in %s\n", err, dir)
		return 1
	}
	_ = os.RemoveAll(dir) // only logs
	return 0
}
