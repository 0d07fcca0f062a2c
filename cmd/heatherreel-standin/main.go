// Command heatherreel-standin runs stand-ins (simple fakes) for the platform's log and for a backend server, for the
// demo and for manual tests. It is not part of a deployment.
package main

import (
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:          "heatherreel-standin",
		Short:        "Run stand-ins for the log and backend servers of the platform, for demos and manual tests",
		SilenceUsage: true,
	}
	root.AddCommand(newLogCommand(), newBackendCommand())
	if root.Execute() != nil {
		os.Exit(1)
	}
}
