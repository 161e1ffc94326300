// Command clementinerock distributes a service mesh's configuration and carries
// its calls.
package main

import (
	"os"

	"clementinerock/internal/cli/commander"
)

func main() {
	os.Exit(commander.Main(os.Args, os.Stdout, os.Stderr))
}
