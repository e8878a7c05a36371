// Package settings reads the settings of cranberrydrumd from flags and
// environment variables with the prefix CRANBERRYDRUM_ and validates them. A flag
// takes precedence over its variable. Parse reads neither the environment of the
// process nor the disk.
package settings

import "time"

// EnvPrefix is the prefix of the names of environment variables.
const EnvPrefix = "CRANBERRYDRUM_"

// ExitInvalidSettings is the exit status of the process if a setting is refused.
const ExitInvalidSettings = 2

// Settings are the validated settings of one host.
type Settings struct {
	HostID string
	Domain string
	Region string
	// HTTPListen and PeerListen are IP addresses with a port.
	HTTPListen string
	PeerListen string
	// HTTPAdvertise is the address at which workers reach the HTTP API of this
	// host directly. If it is empty, workers send lease renewals to any host,
	// which forwards them.
	HTTPAdvertise string
	// PeerAdvertise is the address at which other hosts reach this host.
	PeerAdvertise string
	// Peers are the other hosts, sorted by id.
	Peers []Peer
	// DataDir is the directory for durable state. It is empty on a host without a
	// disk.
	DataDir string
	// Bootstrap permits this host to create the logs if its data directory is
	// empty.
	Bootstrap bool
	// BootstrapTokenSHA256 is the digest of the operator token that is valid until
	// the first configuration is accepted.
	BootstrapTokenSHA256 string
	// PeerKey is the key that all hosts share.
	PeerKey Secret
	// BalancerWait is the time for which a stopping host reports that it is not
	// ready and still accepts requests, so that the load balancer stops sending
	// requests before the host refuses them.
	BalancerWait time.Duration
	// StopTimeout bounds the time after BalancerWait for requests in progress and for
	// writing their responses.
	StopTimeout time.Duration
	LogLevel    string
	LogFormat   string
	Timeouts    Timeouts
}

// Timeouts are the durations used by the protocols between hosts and with
// clients.
type Timeouts struct {
	Dial          time.Duration
	Call          time.Duration
	HTTPRead      time.Duration
	HTTPIdle      time.Duration
	PeerHeartbeat time.Duration
	PeerSilence   time.Duration
	Election      time.Duration
	RaftHeartbeat time.Duration
	ClockError    time.Duration
	WorkerLease   time.Duration
	BackendTTL    time.Duration
}

// Peer is another host of the deployment.
type Peer struct {
	ID      string
	Domain  string
	Region  string
	Address string
	// Disk is true for a host with a data directory, which may be a voter.
	Disk bool
}
