package control

import (
	"hash/fnv"
	"net"

	"cranberrydrum.dev/coord/reconfig"
)

// directShare is the share of the connections that the leader may accept which
// reports of executors take. The others are for operators and for executors that
// have just lost their host.
const directShare = 0.75

// reportAddressOf returns the address to which an executor should send its later
// reports. It is called on the leader.
func (n *Node) reportAddressOf(executor string, executors int) string {
	direct := int(directShare * float64(n.cfg.AcceptLimit()))
	if executors <= direct {
		return n.cfg.ReportAddress
	}
	return chooseReportAddress(executor, executors, direct, n.cfg.ReportAddress, n.otherReportAddresses())
}

// chooseReportAddress sends the reports of as many executors to the leader directly
// as its connections allow, which saves forwarding them, and spreads the rest over
// the other hosts. The choice depends on the name of the executor, so that it is
// the same for each report.
func chooseReportAddress(executor string, executors, direct int, leader string, others []string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(executor))
	hash := int(h.Sum32())
	if len(others) == 0 || hash%executors < direct {
		return leader
	}
	return others[hash/executors%len(others)]
}

// otherReportAddresses returns the report addresses of the other hosts of the group
// that are reachable.
func (n *Node) otherReportAddresses() []string {
	_, port, err := net.SplitHostPort(n.cfg.ReportAddress)
	if err != nil {
		return nil
	}
	var others []string
	for _, p := range n.group.Status().Peers {
		if p.SinceLastReply < PeerSilenceTimeout {
			others = append(others, net.JoinHostPort(reconfig.HostOf(p.ID), port))
		}
	}
	return others
}
