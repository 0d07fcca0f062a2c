package daemon

import (
	"context"
	"testing"

	"heatherreel/internal/intake"
	"heatherreel/internal/settings"
)

// Guards against limits of clients that are switched off in the settings and stay in force at a listen address, or that are
// off without that.
func TestSettingsSwitchLimitsOfClientsOff(t *testing.T) {
	const anyPort = "127.0.0.1:0"
	for name, limit := range map[string]settings.OptionalLimit{"left out": {}, "off": {Given: true}} {
		s := settings.Gateway{Instance: "i-1", DataCentre: "west-a", Region: "emea-west", Service: "orders", BackendAddress: "127.0.0.1:1",
			CallersAddress: anyPort, NodesAddress: anyPort, HeartbeatsAddress: anyPort, ReadyAddress: anyPort, MetricsAddress: anyPort,
			StoreAddress: "127.0.0.1:1", MemoryMB: 284, CPUShare: 1, DrainMS: 2000, ShutdownS: 6, RetryRatio: 0.2, RetryWindowS: 10,
			RetryFloor: 62, NestedCalls: true, MaxConnectionsPerClient: limit, MaxHeaderFields: limit, MinBytesPerSecond: limit}
		d, err := newGatewayDaemon(s, &logBuffer{})
		if err != nil {
			t.Fatal(err)
		}
		ctx, stopServing := context.WithCancel(context.Background())
		if err := d.listen(ctx); err != nil {
			t.Fatal(err)
		}
		d.gateway.Start()
		defer d.close(stopServing)
		connections := d.sizes.Limits()
		if off := connections.PerClient[intake.Callers] == connections.Connections[intake.Callers]; off != limit.Given {
			t.Errorf("%s: %d connections for each address of %d", name, connections.PerClient[intake.Callers], connections.Connections[intake.Callers])
		}
		for _, server := range d.servers {
			if l := server.Limits(); (l.MaxFields == 0) != limit.Given || (l.MinBytesPerSecond == 0) != limit.Given {
				t.Errorf("%s: %+v", name, l)
			}
		}
	}
}
