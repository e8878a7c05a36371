package settings

import (
	"cmp"
	"net/netip"
	"slices"
)

// check reports missing settings and settings that contradict each other. It
// also fills in PeerAdvertise and normalizes Peers.
func check(s *Settings) error {
	if err := checkRequired(s); err != nil {
		return err
	}
	s.PeerAdvertise = cmp.Or(s.PeerAdvertise, s.PeerListen)
	checks := []func(*Settings) *Error{checkAdvertise, checkPeers, checkDisk, checkPeerKey, checkTimeouts}
	for _, c := range checks {
		if err := c(s); err != nil {
			return err
		}
	}
	return nil
}

func checkRequired(s *Settings) error {
	required := []struct{ flag, value string }{
		{flagHostID, s.HostID},
		{flagDomain, s.Domain},
		{flagRegion, s.Region},
	}
	for _, r := range required {
		if r.value == "" {
			return &Error{Flag: r.flag, Reason: "is required", Allowed: allowedName}
		}
	}
	return nil
}

func checkAdvertise(s *Settings) *Error {
	if netip.MustParseAddrPort(s.PeerAdvertise).Addr().IsUnspecified() {
		return &Error{Flag: flagPeerAdvertise, Value: s.PeerAdvertise, Reason: "cannot be reached by other hosts", Allowed: "an address of this host"}
	}
	if s.HTTPAdvertise != "" && netip.MustParseAddrPort(s.HTTPAdvertise).Addr().IsUnspecified() {
		return &Error{Flag: flagHTTPAdvertise, Value: s.HTTPAdvertise, Reason: "cannot be reached by workers", Allowed: "an address of this host"}
	}
	return nil
}

// checkPeers validates the peer list, removes the entry of this host, so that
// all hosts can use the same list, and sorts the others by id.
func checkPeers(s *Settings) *Error {
	self := Peer{ID: s.HostID, Domain: s.Domain, Region: s.Region, Address: s.PeerAdvertise, Disk: s.DataDir != ""}
	ids := map[string]bool{}
	addresses := map[string]bool{}
	regions := map[string]string{s.Domain: s.Region}
	for _, p := range s.Peers {
		reason := ""
		switch {
		case ids[p.ID]:
			reason = "is listed twice"
		case p.ID == s.HostID && p != self:
			reason = "differs from the settings of this host"
		case addresses[p.Address] || (p.ID != s.HostID && p.Address == self.Address):
			reason = "has the address of another host"
		case regions[p.Domain] != "" && regions[p.Domain] != p.Region:
			reason = "assigns a failure domain to a second region"
		}
		if reason != "" {
			return &Error{Flag: flagPeer, Value: p.String(), Reason: reason, Allowed: "each host once, as it describes itself"}
		}
		ids[p.ID] = true
		addresses[p.Address] = true
		regions[p.Domain] = p.Region
	}
	s.Peers = slices.DeleteFunc(s.Peers, func(p Peer) bool { return p.ID == s.HostID })
	slices.SortFunc(s.Peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return nil
}

// String returns the peer in the syntax of the --peer flag.
func (p Peer) String() string {
	text := p.ID + "=" + p.Domain + "/" + p.Region + "@" + p.Address
	if p.Disk {
		text += ",disk"
	}
	return text
}

func checkDisk(s *Settings) *Error {
	if s.DataDir != "" {
		return nil
	}
	if s.Bootstrap {
		return &Error{Flag: flagBootstrap, Value: "true", Reason: "needs a data directory", Allowed: "true only with --" + flagDataDir}
	}
	if !slices.ContainsFunc(s.Peers, func(p Peer) bool { return p.Disk }) {
		return &Error{Flag: flagDataDir, Reason: "is empty, and no peer has a disk", Allowed: "at least one host of the deployment with a data directory"}
	}
	return nil
}

// checkPeerKey requires a peer key if any address is not a loopback address,
// because messages then leave this machine.
func checkPeerKey(s *Settings) *Error {
	if s.PeerKey.IsSet() {
		return nil
	}
	type endpoint struct{ flag, address string }
	endpoints := []endpoint{
		{flagHTTPListen, s.HTTPListen},
		{flagPeerListen, s.PeerListen},
		{flagPeerAdvertise, s.PeerAdvertise},
	}
	for _, p := range s.Peers {
		endpoints = append(endpoints, endpoint{flagPeer, p.Address})
	}
	for _, e := range endpoints {
		if !netip.MustParseAddrPort(e.address).Addr().Unmap().IsLoopback() {
			return &Error{Flag: e.flag, Value: e.address, Reason: "is not a loopback address and no peer key is set", Allowed: "loopback addresses, or any address with " + EnvName(flagPeerKey)}
		}
	}
	return nil
}

// checkTimeouts verifies the relations between timeouts that the protocols
// require. The loss of two consecutive heartbeats must not close a connection or
// cause an election. The leader lease, which is the election timeout minus the
// clock error, must not expire after such a loss either.
func checkTimeouts(s *Settings) *Error {
	const minHeartbeats = 3
	t := s.Timeouts
	if t.PeerSilence < minHeartbeats*t.PeerHeartbeat {
		return &Error{Flag: flagPeerSilence, Value: t.PeerSilence.String(), Reason: "is too short for the heartbeat interval", Allowed: "at least 3 times --" + flagPeerHeartbeat}
	}
	if t.Election-t.ClockError < minHeartbeats*t.RaftHeartbeat {
		return &Error{Flag: flagElection, Value: t.Election.String(), Reason: "is too short for the heartbeat interval and the clock error", Allowed: "at least 3 times --" + flagRaftHeartbeat + " plus --" + flagClockError}
	}
	return nil
}
