package settings_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"cranberrydrum.dev/daemon/settings"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const key = "a-key-of-twenty-bytes"

// valid returns the arguments of a host with a disk and two peers, followed by
// more arguments.
func valid(more ...string) []string {
	return append([]string{
		"--host-id=a", "--failure-domain=one", "--region=r", "--data-dir=/data",
		"--peer=b=one/r@127.0.0.1:7411", "--peer", "c=two/r@127.0.0.1:7421,disk",
	}, more...)
}

// without removes the arguments that start with a prefix.
func without(prefix string, args []string) []string {
	return slices.DeleteFunc(args, func(a string) bool { return strings.HasPrefix(a, prefix) })
}

var _ = Describe("Parse", func() {
	// Guards against a variable that overrides a flag, and against a host that
	// is its own peer.
	It("reads flags, variables and defaults; a flag takes precedence over its variable", func() {
		s, err := settings.Parse(
			valid("--http-listen=10.0.0.1:80", "--peer=a=one/r@127.0.0.1:7401,disk", "--bootstrap", "--election-timeout=2s"),
			[]string{"CRANBERRYDRUM_HTTP_LISTEN=10.9.9.9:80", "CRANBERRYDRUM_PEER_KEY=" + key, "CRANBERRYDRUM_LOG_LEVEL=debug", "CRANBERRYDRUM_SERVER=ignored", "HOME=/root"},
		)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.HTTPListen).To(Equal("10.0.0.1:80"))
		Expect(s.LogLevel).To(Equal("debug"))
		Expect(s.Bootstrap).To(BeTrue())
		Expect(s.PeerAdvertise).To(Equal("127.0.0.1:7401"))
		Expect(s.Timeouts.Election).To(Equal(2 * time.Second))
		Expect(s.Timeouts.WorkerLease).To(Equal(6 * time.Second))
		Expect(s.Peers).To(Equal([]settings.Peer{
			{ID: "b", Domain: "one", Region: "r", Address: "127.0.0.1:7411"},
			{ID: "c", Domain: "two", Region: "r", Address: "127.0.0.1:7421", Disk: true},
		}), "the entry of this host is removed")
		s, err = settings.Parse(valid(), []string{"CRANBERRYDRUM_PEER=x=one/r@127.0.0.1:1 y=one/r@127.0.0.1:2,disk"})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Peers).To(HaveLen(2), "flags replace the list of the variable")
	})

	// Guards against the peer key in a log line, an error or encoded settings.
	It("never prints the peer key", func() {
		s, err := settings.Parse(valid(), []string{"CRANBERRYDRUM_PEER_KEY=" + key})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.PeerKey.Reveal()).To(Equal(key))
		data, err := json.Marshal(s)
		Expect(err).NotTo(HaveOccurred())
		printed := string(data) + fmt.Sprintf("%v %+v %#v %s %q %x %d", s, s, *s, s.PeerKey, s.PeerKey, s.PeerKey, s.PeerKey)
		Expect(printed).NotTo(Or(ContainSubstring(key), ContainSubstring(fmt.Sprintf("%x", key)), ContainSubstring(fmt.Sprintf("%d", []byte(key)))))
		_, err = settings.Parse(valid(), []string{"CRANBERRYDRUM_PEER_KEY=short secret"})
		Expect(err).To(MatchError(And(ContainSubstring("CRANBERRYDRUM_PEER_KEY"), Not(ContainSubstring("short secret")))))
	})

	// Each entry has one invalid setting. The error must state the setting, its
	// value and the allowed values in one line.
	DescribeTable("refuses an invalid setting", func(args []string, env string, text, allowed string) {
		_, err := settings.Parse(args, []string{env})
		var refused *settings.Error
		Expect(errors.As(err, &refused)).To(BeTrue(), "%v", err)
		Expect(err.Error()).To(HavePrefix(text))
		Expect(err.Error()).NotTo(ContainSubstring("\n"))
		Expect(refused.Allowed).To(ContainSubstring(allowed))
	},
		Entry("missing setting", without("--host-id", valid()), "", "--host-id: is required", "letters"),
		Entry("setting given twice", valid("--region=R"), "", `--region "R": is given twice`, "one value"),
		Entry("invalid name", append(without("--region", valid()), "--region=R"), "", `--region "R": is not a valid name`, "lower-case"),
		Entry("invalid variable", valid(), "CRANBERRYDRUM_LOG_LEVEL=loud", `CRANBERRYDRUM_LOG_LEVEL "loud": is not one`, "debug, info, error"),
		Entry("misspelled variable", valid(), "CRANBERRYDRUM_LOG_LEVLE=info", "CRANBERRYDRUM_LOG_LEVLE: is not a setting", "--help"),
		Entry("unknown flag", valid("--peer-key=x"), "", "argument: unknown flag: --peer-key", "--help"),
		Entry("positional argument", valid("start"), "", `argument "start": is not a flag`, "flags only"),
		Entry("host name", valid("--http-listen=localhost:80"), "", `--http-listen "localhost:80": is not an IP address`, "127.0.0.1:7400"),
		Entry("peer port 0", valid("--peer-listen=127.0.0.1:0"), "", `--peer-listen "127.0.0.1:0": has no port`, "port"),
		Entry("duration without a unit", valid("--dial-timeout=5"), "", `--dial-timeout "5": is not a duration with a unit`, "10ms to 1m0s"),
		Entry("duration out of range", valid("--worker-lease=1ms"), "", `--worker-lease "1ms": is out of range`, "100ms"),
		Entry("invalid boolean", valid("--bootstrap=maybe"), "", `--bootstrap "maybe": is not a boolean`, "true or false"),
		Entry("relative folder", append(without("--data", valid()), "--data-dir=data"), "", `--data-dir "data": is not an absolute path`, "absolute"),
		Entry("invalid peer", valid("--peer=d=one@127.0.0.1:1"), "", `--peer "d=one@127.0.0.1:1": is not a valid peer`, "<id>="),
		Entry("invalid peer suffix", valid("--peer=d=one/r@127.0.0.1:1,ssd"), "", "--peer", "disk"),
		Entry("peer twice", valid("--peer=b=one/r@127.0.0.1:9"), "", `--peer "b=one/r@127.0.0.1:9": is listed twice`, "once"),
		Entry("address twice", valid("--peer=d=one/r@127.0.0.1:7411"), "", "--peer", "once"),
		Entry("entry of this host that differs", valid("--peer=a=two/r@127.0.0.1:7401,disk"), "", "--peer", "describes itself"),
		Entry("domain in two regions", valid("--peer=d=one/s@127.0.0.1:9"), "", "--peer", "once"),
		Entry("bootstrap without disk", append(without("--data", valid()), "--bootstrap"), "", "--bootstrap", "--data-dir"),
		Entry("no host with a disk", []string{"--host-id=a", "--failure-domain=o", "--region=r"}, "", "--data-dir: is empty", "at least one"),
		Entry("HTTP address beyond loopback without a key", valid("--http-listen=0.0.0.0:80"), "", `--http-listen "0.0.0.0:80": is not a loopback address`, "CRANBERRYDRUM_PEER_KEY"),
		Entry("peer address beyond loopback without a key", valid("--peer=d=two/r@10.0.0.1:9"), "", `--peer "10.0.0.1:9": is not a loopback address`, "CRANBERRYDRUM_PEER_KEY"),
		Entry("unreachable address", valid("--peer-listen=[::]:9"), "CRANBERRYDRUM_PEER_KEY="+key, `--peer-advertise "[::]:9": cannot be reached`, "address of this host"),
		Entry("peer silence too short", valid("--peer-silence=1400ms"), "", `--peer-silence "1.4s": is too short`, "3 times --peer-heartbeat"),
		Entry("election timeout too short", valid("--clock-error=600ms"), "", `--election-timeout "1s": is too short`, "--raft-heartbeat"),
	)

	It("describes flags and the variable of the peer key in the usage text", func() {
		_, err := settings.Parse([]string{"--help"}, nil)
		var help *settings.HelpRequested
		Expect(errors.As(err, &help)).To(BeTrue())
		Expect(help.Usage).To(And(ContainSubstring("--worker-lease"), ContainSubstring("CRANBERRYDRUM_PEER_KEY")))
	})
})

var _ = Describe("documentation", func() {
	// Guards against settings that the operations page omits or lists with
	// another default.
	It("lists every setting with its default in OPERATIONS.md", func() {
		page, err := os.ReadFile("../../docs/OPERATIONS.md")
		Expect(err).NotTo(HaveOccurred())
		flags := regexp.MustCompile(`(?m)^ +(--[a-z0-9-]+) .*?(?:\(default ([^)]*)\))?$`).FindAllStringSubmatch(settings.Usage(), -1)
		Expect(len(flags)).To(BeNumerically(">", 20))
		for _, f := range flags {
			row := regexp.MustCompile("(?m)^\\| .*`" + f[1] + "`.*$").FindString(string(page))
			Expect(row).To(ContainSubstring(f[2]), f[1])
			Expect(row).NotTo(BeEmpty(), f[1])
		}
	})
})
