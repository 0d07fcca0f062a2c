// Command heatherreel-standin runs small stand-ins of the platform's log and of a backend server, for the demo and for
// trying the system out by hand. It is no part of a deployment.
package main

import (
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:          "heatherreel-standin",
		Short:        "Run small stand-ins of the platform for the demo and for trials",
		SilenceUsage: true,
	}
	root.AddCommand(newLogCommand(), newBackendCommand())
	if root.Execute() != nil {
		os.Exit(1)
	}
}
