package settings

import (
	"cmp"
	"net/netip"
	"slices"
)

// check looks for settings that contradict each other.
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

// checkPeers drops the entry of this host, so that all hosts can have the
// same list, and sorts the others.
func checkPeers(s *Settings) *Error {
	own := Peer{ID: s.HostID, Domain: s.Domain, Region: s.Region, Address: s.PeerAdvertise, Disk: s.DataDir != ""}
	ids := map[string]bool{}
	addresses := map[string]bool{}
	regions := map[string]string{s.Domain: s.Region}
	for _, p := range s.Peers {
		reason := ""
		switch {
		case ids[p.ID]:
			reason = "is listed twice"
		case p.ID == s.HostID && p != own:
			reason = "differs from the settings of this host"
		case addresses[p.Address] || (p.ID != s.HostID && p.Address == own.Address):
			reason = "has the address of another host"
		case regions[p.Domain] != "" && regions[p.Domain] != p.Region:
			reason = "places a failure domain in a second region"
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

// String returns the peer in the form of the flag.
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
		return &Error{Flag: flagBootstrap, Value: "true", Reason: "needs a data folder", Allowed: "true only with --" + flagDataDir}
	}
	if !slices.ContainsFunc(s.Peers, func(p Peer) bool { return p.Disk }) {
		return &Error{Flag: flagDataDir, Reason: "is empty, and no peer has a disk", Allowed: "at least one host of the deployment with a data folder"}
	}
	return nil
}

// checkPeerKey refuses to exchange messages beyond this machine without a key.
func checkPeerKey(s *Settings) *Error {
	if s.PeerKey.Set() {
		return nil
	}
	type use struct{ flag, address string }
	uses := []use{
		{flagHTTPListen, s.HTTPListen},
		{flagPeerListen, s.PeerListen},
		{flagPeerAdvertise, s.PeerAdvertise},
	}
	for _, p := range s.Peers {
		uses = append(uses, use{flagPeer, p.Address})
	}
	for _, u := range uses {
		if !netip.MustParseAddrPort(u.address).Addr().Unmap().IsLoopback() {
			return &Error{Flag: u.flag, Value: u.address, Reason: "is not a loopback address and no peer key is set", Allowed: "loopback addresses, or any address with " + EnvName(flagPeerKey)}
		}
	}
	return nil
}

// checkTimeouts keeps the relations that the protocols rely on: two lost
// heartbeats must not end a connection or a leadership, and the leader lease,
// which is the election timeout less the clock error, must outlast them too.
func checkTimeouts(s *Settings) *Error {
	const heartbeats = 3
	t := s.Timeouts
	if t.PeerSilence < heartbeats*t.PeerHeartbeat {
		return &Error{Flag: flagPeerSilence, Value: t.PeerSilence.String(), Reason: "is too short for the heartbeat interval", Allowed: "at least 3 times --" + flagPeerHeartbeat}
	}
	if t.Election-t.ClockError < heartbeats*t.RaftHeartbeat {
		return &Error{Flag: flagElection, Value: t.Election.String(), Reason: "is too short for the heartbeat interval and the clock error", Allowed: "at least 3 times --" + flagRaftHeartbeat + " plus --" + flagClockError}
	}
	return nil
}
