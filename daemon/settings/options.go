package settings

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// option describes one setting. Its set function stores a value and returns the
// reason if the value is refused, or "".
type option struct {
	flag         string
	usage        string
	defaultValue string
	allowed      string
	boolean      bool
	repeated     bool
	// envOnly is true for a secret. It has no flag, since the arguments of a
	// process are visible in the process list.
	envOnly bool
	set     func(s *Settings, value string) string
}

// Descriptions of the allowed values in errors and in the usage text, and bounds
// on lengths in bytes.
const (
	allowedName    = "1 to 63 lower-case letters, digits and hyphens, starting with a letter"
	allowedListen  = "IP address and port, such as 127.0.0.1:7400 or [::1]:7400"
	allowedPeer    = "<id>=<failure domain>/<region>@<IP address>:<port>, with \",disk\" at the end for a host with a data directory"
	allowedDigest  = "SHA-256 digest of a token as 64 lower-case hexadecimal digits"
	allowedKey     = "16 to 256 printable ASCII characters without spaces"
	allowedBool    = "true or false"
	allowedDataDir = "absolute path of a folder"
	minKeyBytes    = 16
	maxKeyBytes    = 256
	maxNameBytes   = 63
	digestBytes    = 64
)

// Flags that are named in the checks of package settings.
const (
	flagHostID         = "host-id"
	flagDomain         = "failure-domain"
	flagRegion         = "region"
	flagHTTPListen     = "http-listen"
	flagHTTPAdvertise  = "http-advertise"
	flagPeerListen     = "peer-listen"
	flagPeerAdvertise  = "peer-advertise"
	flagPeer           = "peer"
	flagDataDir        = "data-dir"
	flagBootstrap      = "bootstrap"
	flagBootstrapToken = "bootstrap-token-sha256"
	flagPeerKey        = "peer-key"
	flagPeerHeartbeat  = "peer-heartbeat"
	flagPeerSilence    = "peer-silence"
	flagElection       = "election-timeout"
	flagRaftHeartbeat  = "raft-heartbeat"
	flagClockError     = "clock-error"
)

func options() []option {
	return slices.Concat(identityOptions(), networkOptions(), processOptions(), timeoutOptions())
}

func identityOptions() []option {
	return []option{
		{flag: flagHostID, usage: "name of this host, unique in the deployment; never reuse the name of a host that lost its disk", allowed: allowedName, set: nameSetter(func(s *Settings) *string { return &s.HostID })},
		{flag: flagDomain, usage: "failure domain of this host", allowed: allowedName, set: nameSetter(func(s *Settings) *string { return &s.Domain })},
		{flag: flagRegion, usage: "region of the failure domain", allowed: allowedName, set: nameSetter(func(s *Settings) *string { return &s.Region })},
		{flag: flagDataDir, usage: "folder for durable state; leave empty on a host without a disk", allowed: allowedDataDir, set: setDataDir},
		{flag: flagBootstrap, usage: "create the logs on first start; set it on the hosts that form the deployment, never on a replacement", defaultValue: "false", allowed: allowedBool, boolean: true, set: setBootstrap},
		{flag: flagBootstrapToken, usage: "digest of the operator token that is admitted until the first rules are accepted", allowed: allowedDigest, set: setBootstrapToken},
	}
}

func networkOptions() []option {
	return []option{
		{flag: flagHTTPListen, usage: "address of the HTTP API; port 0 selects a free port", defaultValue: "127.0.0.1:7400", allowed: allowedListen, set: addressSetter(func(s *Settings) *string { return &s.HTTPListen }, true)},
		{flag: flagHTTPAdvertise, usage: "address at which workers reach the HTTP API of this host directly; without this address, other hosts forward renewals to this host", allowed: allowedListen, set: addressSetter(func(s *Settings) *string { return &s.HTTPAdvertise }, false)},
		{flag: flagPeerListen, usage: "address for connections of other hosts", defaultValue: "127.0.0.1:7401", allowed: allowedListen, set: addressSetter(func(s *Settings) *string { return &s.PeerListen }, false)},
		{flag: flagPeerAdvertise, usage: "address at which other hosts reach this one; defaults to --peer-listen", allowed: allowedListen, set: addressSetter(func(s *Settings) *string { return &s.PeerAdvertise }, false)},
		{flag: flagPeer, usage: "another host; repeat the flag, or separate entries with spaces in the variable; an entry for this host is ignored", allowed: allowedPeer, repeated: true, set: setPeer},
		{flag: flagPeerKey, usage: "key that all hosts share; required when an address is not a loopback address", allowed: allowedKey, envOnly: true, set: setPeerKey},
	}
}

func processOptions() []option {
	return []option{
		durationOption("balancer-wait", "how long a stopping host reports not ready before it refuses new requests", "5s", 0, 5*time.Minute, func(s *Settings) *time.Duration { return &s.BalancerWait }),
		durationOption("stop-timeout", "bound on finishing requests in progress and writing their responses, after the balancer wait", "10m", time.Second, 24*time.Hour, func(s *Settings) *time.Duration { return &s.StopTimeout }),
		choiceOption("log-level", "lowest level that is logged", "info", []string{"debug", "info", "error"}, func(s *Settings) *string { return &s.LogLevel }),
		choiceOption("log-format", "format of log lines", "json", []string{"json", "text"}, func(s *Settings) *string { return &s.LogFormat }),
	}
}

// timeoutOptions returns the options of Timeouts. Their defaults are the
// durations in the design page.
func timeoutOptions() []option {
	timeoutField := func(field func(*Timeouts) *time.Duration) func(*Settings) *time.Duration {
		return func(s *Settings) *time.Duration { return field(&s.Timeouts) }
	}
	return []option{
		durationOption("dial-timeout", "bound on opening a connection", "1s", 10*time.Millisecond, time.Minute, timeoutField(func(t *Timeouts) *time.Duration { return &t.Dial })),
		durationOption("call-timeout", "bound on a call between hosts that states no deadline", "5s", 10*time.Millisecond, 10*time.Minute, timeoutField(func(t *Timeouts) *time.Duration { return &t.Call })),
		durationOption("http-read-timeout", "bound on reading one HTTP request", "10s", 10*time.Millisecond, 10*time.Minute, timeoutField(func(t *Timeouts) *time.Duration { return &t.HTTPRead })),
		durationOption("http-idle-timeout", "how long an idle HTTP connection stays open", "1m", time.Second, time.Hour, timeoutField(func(t *Timeouts) *time.Duration { return &t.HTTPIdle })),
		durationOption(flagPeerHeartbeat, "interval of heartbeats on a connection between hosts", "500ms", 10*time.Millisecond, 10*time.Second, timeoutField(func(t *Timeouts) *time.Duration { return &t.PeerHeartbeat })),
		durationOption(flagPeerSilence, "silence after which a connection between hosts is closed", "2s", 20*time.Millisecond, time.Minute, timeoutField(func(t *Timeouts) *time.Duration { return &t.PeerSilence })),
		durationOption(flagElection, "election timeout of the logs", "1s", 50*time.Millisecond, time.Minute, timeoutField(func(t *Timeouts) *time.Duration { return &t.Election })),
		durationOption(flagRaftHeartbeat, "interval of heartbeats of a leader", "150ms", 5*time.Millisecond, 10*time.Second, timeoutField(func(t *Timeouts) *time.Duration { return &t.RaftHeartbeat })),
		durationOption(flagClockError, "bound on how far two clocks drift apart during one election timeout", "50ms", time.Millisecond, 10*time.Second, timeoutField(func(t *Timeouts) *time.Duration { return &t.ClockError })),
		durationOption("worker-lease", "how long a worker runs its tasks without a renewal", "6s", 100*time.Millisecond, 10*time.Minute, timeoutField(func(t *Timeouts) *time.Duration { return &t.WorkerLease })),
		durationOption("backend-ttl", "how long the announcement of a backend server is valid", "3s", 100*time.Millisecond, time.Minute, timeoutField(func(t *Timeouts) *time.Duration { return &t.BackendTTL })),
	}
}

// EnvName returns the name of the environment variable of a flag.
func EnvName(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

func nameSetter(field func(*Settings) *string) func(*Settings, string) string {
	return func(s *Settings, value string) string {
		if !validName(value) {
			return "is not a valid name"
		}
		*field(s) = value
		return ""
	}
}

func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes || s[0] < 'a' || s[0] > 'z' {
		return false
	}
	return strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}

// addressSetter returns a set function that accepts an IP address with a port.
// Host names are refused, because hosts communicate by IP address.
func addressSetter(field func(*Settings) *string, allowPortZero bool) func(*Settings, string) string {
	return func(s *Settings, value string) string {
		parsed, err := netip.ParseAddrPort(value)
		if err != nil {
			return "is not an IP address with a port"
		}
		if parsed.Port() == 0 && !allowPortZero {
			return "has no port"
		}
		*field(s) = value
		return ""
	}
}

func durationOption(flag, usage, defaultValue string, low, high time.Duration, field func(*Settings) *time.Duration) option {
	set := func(s *Settings, value string) string {
		d, err := time.ParseDuration(value)
		if err != nil {
			return "is not a duration with a unit"
		}
		if d < low || d > high {
			return "is out of range"
		}
		*field(s) = d
		return ""
	}
	allowed := low.String() + " to " + high.String() + ", with a unit such as ms, s, m or h"
	return option{flag: flag, usage: usage, defaultValue: defaultValue, allowed: allowed, set: set}
}

func choiceOption(flag, usage, defaultValue string, values []string, field func(*Settings) *string) option {
	set := func(s *Settings, value string) string {
		if !slices.Contains(values, value) {
			return "is not one of the allowed values"
		}
		*field(s) = value
		return ""
	}
	return option{flag: flag, usage: usage, defaultValue: defaultValue, allowed: strings.Join(values, ", "), set: set}
}

func setDataDir(s *Settings, value string) string {
	if !strings.HasPrefix(value, "/") {
		return "is not an absolute path"
	}
	s.DataDir = value
	return ""
}

func setBootstrap(s *Settings, value string) string {
	b, err := strconv.ParseBool(value)
	if err != nil {
		return "is not a boolean"
	}
	s.Bootstrap = b
	return ""
}

func setBootstrapToken(s *Settings, value string) string {
	if len(value) != digestBytes || strings.Trim(value, "0123456789abcdef") != "" {
		return "is not a SHA-256 digest"
	}
	s.BootstrapTokenSHA256 = value
	return ""
}

func setPeerKey(s *Settings, value string) string {
	isUnprintable := func(r rune) bool { return r <= ' ' || r > '~' }
	if len(value) < minKeyBytes || len(value) > maxKeyBytes || strings.ContainsFunc(value, isUnprintable) {
		return "is not a valid key"
	}
	s.PeerKey = NewSecret(value)
	return ""
}

// setPeer adds the peers listed in one flag or variable.
func setPeer(s *Settings, value string) string {
	for _, entry := range strings.Fields(value) {
		p, ok := parsePeer(entry)
		if !ok {
			return "is not a valid peer"
		}
		s.Peers = append(s.Peers, p)
	}
	return ""
}

func parsePeer(entry string) (Peer, bool) {
	id, rest, hasID := strings.Cut(entry, "=")
	domain, rest, hasDomain := strings.Cut(rest, "/")
	region, rest, hasRegion := strings.Cut(rest, "@")
	addr, suffix, hasSuffix := strings.Cut(rest, ",")
	if !hasID || !hasDomain || !hasRegion || (hasSuffix && suffix != "disk") {
		return Peer{}, false
	}
	if !validName(id) || !validName(domain) || !validName(region) {
		return Peer{}, false
	}
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil || parsed.Port() == 0 {
		return Peer{}, false
	}
	return Peer{ID: id, Domain: domain, Region: region, Address: addr, Disk: hasSuffix}, true
}
