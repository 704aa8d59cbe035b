package rrfleet

import (
	"context"
	"os/exec"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// Build builds one of the project's commands into an existing directory, and
// returns the path of the executable.
func Build(ctx context.Context, dir, name string) (string, error) {
	path := filepath.Join(dir, name)
	out, err := exec.CommandContext(ctx, "go", "build", "-o", path, "rhubarbreel.example/rhubarbreel/cmd/"+name).CombinedOutput()
	return path, eris.Wrapf(err, "building %s: %s", name, out)
}
