// Package settings reads the settings of cranberrydrumd from flags and
// CRANBERRYDRUM_... environment variables and checks each of them. A flag wins
// over its variable. Parse uses neither the process environment nor the disk.
package settings

import "time"

// EnvPrefix starts the name of each environment variable.
const EnvPrefix = "CRANBERRYDRUM_"

// ExitStatus is the exit status of the process when a setting is refused.
const ExitStatus = 2

// Settings are the checked settings of one host.
type Settings struct {
	HostID string
	Domain string
	Region string
	// HTTPListen and PeerListen are IP addresses with a port.
	HTTPListen string
	PeerListen string
	// HTTPAdvertise is the address at which workers reach the HTTP API of this
	// host directly. Without it their renewals go through any host.
	HTTPAdvertise string
	// PeerAdvertise is the address at which other hosts reach this one.
	PeerAdvertise string
	// Peers are the other hosts, sorted by id.
	Peers []Peer
	// DataDir is empty on a host without a disk.
	DataDir string
	// Bootstrap lets this host create the logs if its data folder is empty.
	Bootstrap bool
	// BootstrapTokenSHA256 is the digest of the operator token that is
	// admitted while no configuration was accepted yet.
	BootstrapTokenSHA256 string
	PeerKey              Secret
	// BalancerWait is how long a stopping host reports that it is not ready
	// while it still accepts requests, so that the load balancer notices.
	BalancerWait time.Duration
	// StopTimeout bounds the wait for requests in progress at a stop.
	StopTimeout time.Duration
	LogLevel    string
	LogFormat   string
	Timeouts    Timeouts
}

// Timeouts are the durations of the protocols between hosts and clients.
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
	// Disk marks a host with a data folder, which may vote.
	Disk bool
}
