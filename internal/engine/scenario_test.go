package engine

import (
	"testing"
	"testing/synctest"

	"heatherreel/internal/scenario"
)

// Each script in testdata/scenario names the promise that it guards.
func TestScenarios(t *testing.T) {
	scenario.Run(t, "testdata/scenario", synctest.Test, func(t *testing.T) scenario.World { return newFleet(t) })
}
