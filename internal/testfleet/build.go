package testfleet

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/pkg/errors"
)

// binVariable is the environment variable with the folder of the built programs.
const binVariable = "SF_BIN"

// buildOnce builds the programs once per test process.
var buildOnce = sync.OnceValues(func() (string, error) {
	if bin := os.Getenv(binVariable); bin != "" {
		return bin, nil
	}
	root, err := Root()
	if err != nil {
		return "", err
	}
	bin, err := os.MkdirTemp("", "sf-bin-")
	if err != nil {
		return "", errors.WithStack(err)
	}
	build := exec.Command("go", "build", "-o", bin+"/", "./cmd/...")
	build.Dir = root
	output, err := build.CombinedOutput()
	return bin, errors.Wrapf(err, "build: %s", output)
})

// Bin returns a folder with the built programs: the value of SF_BIN if it is set, otherwise a new
// build in a temporary folder.
func Bin() (string, error) {
	return buildOnce()
}

// Root returns the root folder of the repository, found by its go.mod.
func Root() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", errors.WithStack(err)
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", errors.New("no go.mod above the working directory")
		}
		dir = parent
	}
}
