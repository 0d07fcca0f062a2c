package engine

import (
	"testing"
	"testing/synctest"

	"heatherreel/internal/scenario"
)

// Runs the scripts in testdata/scenario. The comment at the head of each script states the guarantee that it checks.
func TestScenarios(t *testing.T) {
	scenario.Run(t, "testdata/scenario", synctest.Test, func(t *testing.T) scenario.Environment { return newFleet(t) })
}
