package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

// Types shown in the help text and the reference.
const (
	typeIdentifier = "name"
	typeIP         = "IP"
	typeAddress    = "IP:port"
	typePeers      = "IP:port,..."
	typeURL        = "URL"
	typeCount      = "count"
	typeDuration   = "duration"
	typeLevel      = "level"
	typeOutput     = "output"
	typeRatio      = "ratio"
)

// Remedies that several settings share.
const (
	remedyName    = "give 1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit"
	remedyAddress = "give an IP address and a port from 1 to 65535, such as 10.0.0.5:7400 or [2001:db8::5]:7400"
)

var (
	remedyWorkers = fmt.Sprintf("give a whole number from 1 to %d", MaxWorkers)
	remedyQueue   = fmt.Sprintf("give a whole number from 1 to %d", MaxQueue)
)

// definitions lists all settings in the order of the reference.
var definitions = []definition{
	{"instance", typeIdentifier, "", "name of the instance (machine) on which the node runs", remedyName,
		nameSetter(func(s *Settings) *string { return &s.Instance })},
	{"data-centre", typeIdentifier, "", "data centre of the instance, as the configuration names it", remedyName,
		nameSetter(func(s *Settings) *string { return &s.DataCentre })},
	{"region", typeIdentifier, "", "region of the data centre, as the configuration names it", remedyName,
		nameSetter(func(s *Settings) *string { return &s.Region })},
	{"address", typeIP, "", "IP address at which other nodes and callers reach the node; stated in the join record",
		"give the IP address of this instance, without a port", applyAddress},
	{"callers-address", typeAddress, DefaultCallersAddress, "HTTP listen address for callers", remedyAddress,
		listenAddressSetter(func(s *Settings) *netip.AddrPort { return &s.CallersAddress })},
	{"nodes-address", typeAddress, DefaultNodesAddress, "drpc listen address (TCP) for other nodes", remedyAddress,
		listenAddressSetter(func(s *Settings) *netip.AddrPort { return &s.NodesAddress })},
	{"leases-address", typeAddress, DefaultLeasesAddress, "UDP listen address of the lease protocol", remedyAddress,
		listenAddressSetter(func(s *Settings) *netip.AddrPort { return &s.LeasesAddress })},
	{"backend-address", typeAddress, DefaultBackendAddress,
		"HTTP listen address for announcements of the backend server beside the node", remedyAddress,
		listenAddressSetter(func(s *Settings) *netip.AddrPort { return &s.BackendAddress })},
	{"operators-address", typeAddress, DefaultOperatorsAddress,
		"HTTP listen address for status, explain, metrics and health", remedyAddress,
		listenAddressSetter(func(s *Settings) *netip.AddrPort { return &s.OperatorsAddress })},
	{"log-url", typeURL, "", "base URL of the platform's log",
		"give http://IP:port with an IP address and nothing after the port", applyLogURL},
	{"log-stream", typeIdentifier, DefaultLogStream, "stream of the log that holds the records of this fleet", remedyName,
		nameSetter(func(s *Settings) *string { return &s.LogStream })},
	{"log-retention", typeDuration, DefaultLogRetention.String(),
		"how long the log keeps records; a quarter of it is the longest time between checkpoints",
		"give a duration from " + MinLogRetention.String() + " to " + MaxLogRetention.String() + ", such as 24h",
		durationRangeSetter(MinLogRetention, MaxLogRetention, func(s *Settings) *time.Duration { return &s.LogRetention })},
	{"peer-addresses", typePeers, PeersNone,
		"drpc addresses of other nodes, from which the node loads its state if it starts while the log is unavailable",
		"give none, or up to " + strconv.Itoa(MaxPeerAddresses) + " IP addresses with ports, separated by commas",
		applyPeerAddresses},
	{"ingress-workers", typeCount, strconv.Itoa(DefaultIngressWorkers),
		"workers for requests of callers; each waits while a remote owner runs its request", remedyWorkers,
		countSetter(MaxWorkers, func(s *Settings) *int { return &s.Ingress.Workers })},
	{"ingress-queue", typeCount, strconv.Itoa(DefaultIngressQueue), "requests of callers that may wait for a worker",
		remedyQueue, countSetter(MaxQueue, func(s *Settings) *int { return &s.Ingress.Queue })},
	{"owner-workers", typeCount, strconv.Itoa(DefaultOwnerWorkers), "workers for requests that this node owns",
		remedyWorkers, countSetter(MaxWorkers, func(s *Settings) *int { return &s.Owner.Workers })},
	{"owner-queue", typeCount, strconv.Itoa(DefaultOwnerQueue), "requests for owned keys that may wait for a worker",
		remedyQueue, countSetter(MaxQueue, func(s *Settings) *int { return &s.Owner.Queue })},
	{"lease-workers", typeCount, strconv.Itoa(DefaultLeaseWorkers), "workers for lease datagrams, renewals and claims",
		remedyWorkers, countSetter(MaxWorkers, func(s *Settings) *int { return &s.Lease.Workers })},
	{"lease-queue", typeCount, strconv.Itoa(DefaultLeaseQueue), "lease jobs that may wait for a worker",
		remedyQueue, countSetter(MaxQueue, func(s *Settings) *int { return &s.Lease.Queue })},
	{"ledger-workers", typeCount, strconv.Itoa(DefaultLedgerWorkers), "workers for reading, appending and planning",
		remedyWorkers, countSetter(MaxWorkers, func(s *Settings) *int { return &s.Ledger.Workers })},
	{"ledger-queue", typeCount, strconv.Itoa(DefaultLedgerQueue), "ledger jobs that may wait for a worker",
		remedyQueue, countSetter(MaxQueue, func(s *Settings) *int { return &s.Ledger.Queue })},
	{"request-id-skew", typeDuration, DefaultRequestIDSkew.String(),
		"maximum difference of a caller's clock from the node's, for the issue date in request ids",
		"give a duration over 0 and up to " + MaxRequestIDSkew.String() + ", such as 500ms",
		durationSetter(MaxRequestIDSkew, func(s *Settings) *time.Duration { return &s.RequestIDSkew })},
	{"shutdown-timeout", typeDuration, DefaultShutdownTimeout.String(),
		"longest time for a graceful shutdown; requests that still run then are aborted",
		"give a duration over 0 and up to " + MaxShutdownTimeout.String() + ", such as 30s",
		durationSetter(MaxShutdownTimeout, func(s *Settings) *time.Duration { return &s.ShutdownTimeout })},
	{"log-level", typeLevel, DefaultLogLevel, "minimum level of events that are written: debug, info, warn or error",
		"give debug, info, warn or error", applyLogLevel},
	{"trace-output", typeOutput, TraceNone, "where spans are written: none, stderr or the absolute path of a file",
		"give none, stderr or an absolute path", applyTraceOutput},
	{"trace-ratio", typeRatio, strconv.FormatFloat(DefaultTraceRatio, 'g', -1, 64),
		"fraction of requests whose spans are written, from 0 to 1", "give a number from 0 to 1", applyTraceRatio},
}

// namePattern excludes '+', which joins the regions of a group, and '/', which separates the segments of a URL path.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// nameSetter returns an apply function for a name.
func nameSetter(field func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		if !namePattern.MatchString(text) {
			return fmt.Errorf("%q is not a valid name", text)
		}
		*field(s) = text
		return nil
	}
}

// applyAddress parses the advertised IP.
func applyAddress(s *Settings, text string) error {
	ip, err := netip.ParseAddr(text)
	if err != nil || ip.Zone() != "" {
		return fmt.Errorf("%q is not an IP address", text)
	}
	ip = ip.Unmap()
	if ip.IsUnspecified() || ip.IsMulticast() || ip == broadcast {
		return fmt.Errorf("%s is not the address of one instance", ip)
	}
	s.Address = ip
	return nil
}

// broadcast is the IPv4 limited broadcast address.
var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// listenAddressSetter returns an apply function for a listen address.
func listenAddressSetter(field func(*Settings) *netip.AddrPort) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		address, err := parseAddress(text)
		if err != nil {
			return err
		}
		*field(s) = address
		return nil
	}
}

// parseAddress parses IP:port. Port 0 is rejected, because the join record must contain the actual port.
func parseAddress(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Addr().Zone() != "" {
		return netip.AddrPort{}, fmt.Errorf("%q is not IP:port", text)
	}
	if address.Port() == 0 {
		return netip.AddrPort{}, fmt.Errorf("%q names port 0, which is not allowed", text)
	}
	if address.Addr().IsMulticast() {
		return netip.AddrPort{}, fmt.Errorf("%q is a multicast address", text)
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), nil
}

// applyPeerAddresses parses a list of addresses of other nodes.
func applyPeerAddresses(s *Settings, text string) error {
	s.PeerAddresses = nil
	if text == PeersNone {
		return nil
	}
	items := strings.Split(text, ",")
	if len(items) > MaxPeerAddresses {
		return fmt.Errorf("lists too many addresses (%d)", len(items))
	}
	for _, item := range items {
		address, err := parseAddress(strings.TrimSpace(item))
		if err != nil {
			return err
		}
		if address.Addr().IsUnspecified() {
			return fmt.Errorf("%s is not the address of a specific node", address)
		}
		s.PeerAddresses = append(s.PeerAddresses, address.String())
	}
	return nil
}

// applyLogURL parses the URL of the log. Its errors do not contain the text, which could include a password.
func applyLogURL(s *Settings, text string) error {
	u, err := url.Parse(text)
	if err != nil {
		return errors.New("is not a valid URL")
	}
	if u.Scheme != "http" {
		return errors.New("is not an http URL")
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" || (u.Path != "" && u.Path != "/") {
		return errors.New("has parts other than scheme, IP and port")
	}
	address, err := parseAddress(u.Host)
	if err != nil || address.Addr().IsUnspecified() {
		return errors.New("does not name an IP address and a port")
	}
	s.LogURL = &url.URL{Scheme: u.Scheme, Host: address.String()}
	return nil
}

// countSetter returns an apply function for a whole number from 1 to maximum.
func countSetter(maximum int, field func(*Settings) *int) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		n, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", text)
		}
		if n < 1 || n > maximum {
			return fmt.Errorf("%d is out of range", n)
		}
		*field(s) = n
		return nil
	}
}

// durationSetter returns an apply function for a duration over 0 and up to maximum.
func durationSetter(maximum time.Duration, field func(*Settings) *time.Duration) func(*Settings, string) error {
	return durationRangeSetter(1, maximum, field)
}

// durationRangeSetter returns an apply function for a duration from minimum to maximum.
func durationRangeSetter(
	minimum, maximum time.Duration, field func(*Settings) *time.Duration,
) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		d, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("%q is not a duration with a unit", text)
		}
		if d < minimum || d > maximum {
			return fmt.Errorf("%s is out of range", d)
		}
		*field(s) = d
		return nil
	}
}

// logLevels are the accepted log levels.
var logLevels = map[string]zerolog.Level{
	"debug": zerolog.DebugLevel,
	"info":  zerolog.InfoLevel,
	"warn":  zerolog.WarnLevel,
	"error": zerolog.ErrorLevel,
}

// applyLogLevel parses the log level.
func applyLogLevel(s *Settings, text string) error {
	level, ok := logLevels[text]
	if !ok {
		return fmt.Errorf("%q is not a log level", text)
	}
	s.LogLevel = level
	return nil
}

// applyTraceOutput validates the trace output. A relative path is rejected, because it would depend on the working
// directory that the service manager sets.
func applyTraceOutput(s *Settings, text string) error {
	if text != TraceNone && text != TraceStderr && !filepath.IsAbs(text) {
		return fmt.Errorf("%q is not a trace output", text)
	}
	s.TraceOutput = text
	return nil
}

// applyTraceRatio parses the trace ratio. The comparison also rejects NaN.
func applyTraceRatio(s *Settings, text string) error {
	ratio, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return fmt.Errorf("%q is not a number", text)
	}
	if !(ratio >= 0 && ratio <= 1) {
		return fmt.Errorf("%s is out of range", text)
	}
	s.TraceRatio = ratio
	return nil
}
