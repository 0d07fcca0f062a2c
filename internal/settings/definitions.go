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
	kindName     = "name"
	kindIP       = "IP"
	kindAddress  = "IP:port"
	kindPeers    = "IP:port,..."
	kindURL      = "URL"
	kindCount    = "count"
	kindDuration = "duration"
	kindLevel    = "level"
	kindOutput   = "output"
	kindRatio    = "ratio"
)

// Remedies that several settings share.
const (
	remedyName    = "give 1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit"
	remedyAddress = "give an IP number and a port from 1 to 65535, such as 10.0.0.5:7400 or [2001:db8::5]:7400"
)

var (
	remedyWorkers = fmt.Sprintf("give a whole number from 1 to %d", MaxWorkers)
	remedyQueue   = fmt.Sprintf("give a whole number from 1 to %d", MaxQueue)
)

// definitions lists all settings in the order of the reference.
var definitions = []definition{
	{"instance", kindName, "", "name of the instance (machine) on which the node runs", remedyName,
		nameInto(func(s *Settings) *string { return &s.Instance })},
	{"data-centre", kindName, "", "data centre of the instance, as the configuration names it", remedyName,
		nameInto(func(s *Settings) *string { return &s.DataCentre })},
	{"region", kindName, "", "region of the data centre, as the configuration names it", remedyName,
		nameInto(func(s *Settings) *string { return &s.Region })},
	{"address", kindIP, "", "IP that other nodes and callers reach; stated in the join record",
		"give the IP number of this instance, without a port", applyAddress},
	{"callers-address", kindAddress, DefaultCallersAddress, "HTTP listen address for callers", remedyAddress,
		listenInto(func(s *Settings) *netip.AddrPort { return &s.CallersAddress })},
	{"nodes-address", kindAddress, DefaultNodesAddress, "drpc listen address (TCP) for other nodes", remedyAddress,
		listenInto(func(s *Settings) *netip.AddrPort { return &s.NodesAddress })},
	{"leases-address", kindAddress, DefaultLeasesAddress, "UDP listen address of the lease protocol", remedyAddress,
		listenInto(func(s *Settings) *netip.AddrPort { return &s.LeasesAddress })},
	{"backend-address", kindAddress, DefaultBackendAddress,
		"HTTP listen address for announcements of the backend server beside the node", remedyAddress,
		listenInto(func(s *Settings) *netip.AddrPort { return &s.BackendAddress })},
	{"operators-address", kindAddress, DefaultOperatorsAddress,
		"HTTP listen address for status, explain, metrics and health", remedyAddress,
		listenInto(func(s *Settings) *netip.AddrPort { return &s.OperatorsAddress })},
	{"log-url", kindURL, "", "base URL of the platform's log",
		"give http://IP:port with an IP number and nothing after the port", applyLogURL},
	{"log-stream", kindName, DefaultLogStream, "stream of the log that holds the records of this fleet", remedyName,
		nameInto(func(s *Settings) *string { return &s.LogStream })},
	{"log-retention", kindDuration, DefaultLogRetention.String(),
		"how long the log keeps records; a quarter of it is the longest time between checkpoints",
		"give a duration from " + MinLogRetention.String() + " to " + MaxLogRetention.String() + ", such as 24h",
		durationBetween(MinLogRetention, MaxLogRetention, func(s *Settings) *time.Duration { return &s.LogRetention })},
	{"peer-addresses", kindPeers, PeersNone,
		"drpc addresses of other nodes, from which a node that starts while the log is down takes its state",
		"give none, or up to " + strconv.Itoa(MaxPeerAddresses) + " IP numbers with ports, separated by commas",
		applyPeerAddresses},
	{"ingress-workers", kindCount, strconv.Itoa(DefaultIngressWorkers),
		"workers for requests of callers; each waits while a remote owner runs its request", remedyWorkers,
		countInto(MaxWorkers, func(s *Settings) *int { return &s.Ingress.Workers })},
	{"ingress-queue", kindCount, strconv.Itoa(DefaultIngressQueue), "requests of callers that may wait for a worker",
		remedyQueue, countInto(MaxQueue, func(s *Settings) *int { return &s.Ingress.Queue })},
	{"owner-workers", kindCount, strconv.Itoa(DefaultOwnerWorkers), "workers for requests that this node owns",
		remedyWorkers, countInto(MaxWorkers, func(s *Settings) *int { return &s.Owner.Workers })},
	{"owner-queue", kindCount, strconv.Itoa(DefaultOwnerQueue), "requests for owned keys that may wait for a worker",
		remedyQueue, countInto(MaxQueue, func(s *Settings) *int { return &s.Owner.Queue })},
	{"lease-workers", kindCount, strconv.Itoa(DefaultLeaseWorkers), "workers for lease datagrams, renewals and claims",
		remedyWorkers, countInto(MaxWorkers, func(s *Settings) *int { return &s.Lease.Workers })},
	{"lease-queue", kindCount, strconv.Itoa(DefaultLeaseQueue), "lease jobs that may wait for a worker",
		remedyQueue, countInto(MaxQueue, func(s *Settings) *int { return &s.Lease.Queue })},
	{"ledger-workers", kindCount, strconv.Itoa(DefaultLedgerWorkers), "workers for reading, appending and planning",
		remedyWorkers, countInto(MaxWorkers, func(s *Settings) *int { return &s.Ledger.Workers })},
	{"ledger-queue", kindCount, strconv.Itoa(DefaultLedgerQueue), "ledger jobs that may wait for a worker",
		remedyQueue, countInto(MaxQueue, func(s *Settings) *int { return &s.Ledger.Queue })},
	{"request-id-skew", kindDuration, DefaultRequestIDSkew.String(),
		"how far a caller's clock may differ from the node's when a request id is dated",
		"give a duration over 0 and up to " + MaxRequestIDSkew.String() + ", such as 500ms",
		durationInto(MaxRequestIDSkew, func(s *Settings) *time.Duration { return &s.RequestIDSkew })},
	{"shutdown-timeout", kindDuration, DefaultShutdownTimeout.String(),
		"longest time of a graceful shutdown; requests that still run then are cut off",
		"give a duration over 0 and up to " + MaxShutdownTimeout.String() + ", such as 30s",
		durationInto(MaxShutdownTimeout, func(s *Settings) *time.Duration { return &s.ShutdownTimeout })},
	{"log-level", kindLevel, DefaultLogLevel, "lowest level of events that are written: debug, info, warn or error",
		"give debug, info, warn or error", applyLogLevel},
	{"trace-output", kindOutput, TraceNone, "where spans are written: none, stderr or the absolute path of a file",
		"give none, stderr or an absolute path", applyTraceOutput},
	{"trace-ratio", kindRatio, strconv.FormatFloat(DefaultTraceRatio, 'g', -1, 64),
		"share of requests whose spans are written, from 0 to 1", "give a number from 0 to 1", applyTraceRatio},
}

// nameFormat excludes '+', which joins regions in a group, and '/', which separates parts of a URL.
var nameFormat = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// nameInto returns an apply function for a name.
func nameInto(field func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		if !nameFormat.MatchString(text) {
			return fmt.Errorf("%q is not a name", text)
		}
		*field(s) = text
		return nil
	}
}

// applyAddress parses the advertised IP.
func applyAddress(s *Settings, text string) error {
	ip, err := netip.ParseAddr(text)
	if err != nil || ip.Zone() != "" {
		return fmt.Errorf("%q is not an IP number", text)
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

// listenInto returns an apply function for a listen address.
func listenInto(field func(*Settings) *netip.AddrPort) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		address, err := parseAddress(text)
		if err != nil {
			return err
		}
		*field(s) = address
		return nil
	}
}

// parseAddress parses IP:port. Port 0 is refused, because the join record could not state the port.
func parseAddress(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Addr().Zone() != "" {
		return netip.AddrPort{}, fmt.Errorf("%q is not IP:port", text)
	}
	if address.Port() == 0 {
		return netip.AddrPort{}, fmt.Errorf("%q names no port", text)
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
	list := strings.Split(text, ",")
	if len(list) > MaxPeerAddresses {
		return fmt.Errorf("lists %d addresses", len(list))
	}
	for _, one := range list {
		address, err := parseAddress(strings.TrimSpace(one))
		if err != nil {
			return err
		}
		if address.Addr().IsUnspecified() {
			return fmt.Errorf("%s is not the address of one node", address)
		}
		s.PeerAddresses = append(s.PeerAddresses, address.String())
	}
	return nil
}

// applyLogURL parses the URL of the log. The error leaves out the text, which could hold a password.
func applyLogURL(s *Settings, text string) error {
	u, err := url.Parse(text)
	if err != nil {
		return errors.New("is not a URL")
	}
	if u.Scheme != "http" {
		return errors.New("is not an http URL")
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" || (u.Path != "" && u.Path != "/") {
		return errors.New("has parts other than scheme, IP and port")
	}
	address, err := parseAddress(u.Host)
	if err != nil || address.Addr().IsUnspecified() {
		return errors.New("does not name an IP number and a port")
	}
	s.LogURL = &url.URL{Scheme: u.Scheme, Host: address.String()}
	return nil
}

// countInto returns an apply function for a whole number from 1 to most.
func countInto(most int, field func(*Settings) *int) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		n, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", text)
		}
		if n < 1 || n > most {
			return fmt.Errorf("%d is out of range", n)
		}
		*field(s) = n
		return nil
	}
}

// durationInto returns an apply function for a duration over 0 and up to most.
func durationInto(most time.Duration, field func(*Settings) *time.Duration) func(*Settings, string) error {
	return durationBetween(1, most, field)
}

// durationBetween returns an apply function for a duration from least to most.
func durationBetween(
	least, most time.Duration, field func(*Settings) *time.Duration,
) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		d, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("%q is not a duration with a unit", text)
		}
		if d < least || d > most {
			return fmt.Errorf("%s is out of range", d)
		}
		*field(s) = d
		return nil
	}
}

// levels are the accepted log levels.
var levels = map[string]zerolog.Level{
	"debug": zerolog.DebugLevel,
	"info":  zerolog.InfoLevel,
	"warn":  zerolog.WarnLevel,
	"error": zerolog.ErrorLevel,
}

// applyLogLevel parses the log level.
func applyLogLevel(s *Settings, text string) error {
	level, ok := levels[text]
	if !ok {
		return fmt.Errorf("%q is not a level", text)
	}
	s.LogLevel = level
	return nil
}

// applyTraceOutput checks the trace output. A relative path is refused, because it depends on the working directory
// of the service manager.
func applyTraceOutput(s *Settings, text string) error {
	if text != TraceNone && text != TraceStderr && !filepath.IsAbs(text) {
		return fmt.Errorf("%q is not an output", text)
	}
	s.TraceOutput = text
	return nil
}

// applyTraceRatio parses the trace ratio. The comparison also refuses NaN.
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
