// Package deps keeps the declared libraries in go.mod until the packages that use them import them.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/google/uuid"
	_ "github.com/gorilla/mux"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/rs/zerolog"
	_ "github.com/spf13/cobra"
	_ "github.com/spf13/pflag"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/exporters/prometheus"
	_ "go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	_ "go.opentelemetry.io/otel/sdk/metric"
	_ "go.opentelemetry.io/otel/sdk/trace"
	_ "go.uber.org/goleak"
	_ "go.yaml.in/yaml/v3"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
	_ "storj.io/drpc/drpcconn"
	_ "storj.io/drpc/drpcmux"
	_ "storj.io/drpc/drpcpool"
	_ "storj.io/drpc/drpcserver"
)
