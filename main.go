// Command clementinerock distributes the configuration of a service mesh and forwards its calls.
package main

import (
	"os"

	"clementinerock/internal/cli/commander"
)

func main() {
	os.Exit(commander.Main(os.Args, os.Stdout, os.Stderr))
}
