package configstate_test

import (
	"bytes"
	"fmt"
	"testing"

	"cranberrydrum.dev/scheduler/configstate"
	"cranberrydrum.dev/scheduler/rules"
	"cranberrydrum.dev/scheduler/structs"
	"pgregory.net/rapid"
)

// oracle is a reference model of State: a list of the accepted contents, where
// version n is at index n-1.
type oracle struct {
	accepted []content
	authors  []string
}

// expected is the result of a command according to the oracle.
type expected struct {
	version uint64
	code    structs.Code
	winner  uint64
}

func (o *oracle) apply(base uint64, c content, author string) expected {
	latest := uint64(len(o.accepted))
	switch {
	case base > latest:
		return expected{code: structs.CodeVersionConflict, winner: latest}
	case base < latest && o.accepted[base] == c:
		return expected{version: base + 1}
	case base < latest:
		return expected{code: structs.CodeVersionConflict, winner: base + 1}
	case c.broken:
		return expected{code: structs.CodeRulesInvalid}
	case latest > 0 && o.accepted[0].homes != c.homes:
		return expected{code: structs.CodeKeyHomesFixed}
	}
	o.accepted = append(o.accepted, c)
	o.authors = append(o.authors, author)
	return expected{version: latest + 1}
}

// logEntry is one command of the replicated log with its expected result.
type logEntry struct {
	command     configstate.Command
	content     content
	want        expected
	firstAnswer []byte
}

// cluster drives several hosts that apply the same log with different lag, and
// followers that receive versions late and out of order.
type cluster struct {
	oracle    oracle
	log       []*logEntry
	hosts     []*configstate.State
	applied   []int
	followers []*configstate.Follower
	digests   map[content]string
	versions  []uint64 // highest version observed on each host, then on each follower
}

var (
	drawContent = rapid.Custom(func(t *rapid.T) content {
		return content{
			customers: rapid.SampledFrom([]string{"", "a", "ab"}).Draw(t, "customers"),
			reason:    rapid.SampledFrom([]string{"site", "first site"}).Draw(t, "reason"),
			homes:     rapid.SampledFrom([]string{"off", "off", "off", "on"}).Draw(t, "homes"),
			broken:    rapid.IntRange(0, 9).Draw(t, "broken") == 0,
		}
	})
	drawAuthor = rapid.SampledFrom([]string{"mira", "beat", "ruth"})
)

// TestRacingOperators guards against lost or reverted changes. Operators submit
// concurrent changes and resend them, hosts restart from snapshots, and
// followers lag.
func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts, followers = 3, 6
		c := &cluster{digests: map[content]string{}, applied: make([]int, hosts), versions: make([]uint64, hosts+followers)}
		for range hosts {
			c.hosts = append(c.hosts, configstate.New())
		}
		for range followers {
			c.followers = append(c.followers, configstate.NewFollower())
		}
		t.Repeat(map[string]func(*rapid.T){
			"":        c.check,
			"change":  c.change,
			"resend":  c.resend,
			"advance": c.advance,
			"restart": c.restart,
			"offer":   c.offer,
		})
	})
}

func (c *cluster) propose(command configstate.Command, content content) {
	want := c.oracle.apply(command.BaseVersion, content, command.Author)
	c.log = append(c.log, &logEntry{command: command, content: content, want: want})
}

func (c *cluster) change(t *rapid.T) {
	latest := uint64(len(c.oracle.accepted))
	base := latest
	if rapid.IntRange(0, 2).Draw(t, "stale") == 0 {
		base = uint64(rapid.IntRange(0, int(latest)+1).Draw(t, "base"))
	}
	content := drawContent.Draw(t, "content")
	spelling := rapid.SampledFrom([]string{" ", "  ", "\t"}).Draw(t, "spelling")
	c.propose(configstate.Command{
		BaseVersion: base,
		Text:        []byte(content.text(spelling)),
		Author:      drawAuthor.Draw(t, "author"),
		RequestID:   fmt.Sprint("r", len(c.log)),
	}, content)
}

func (c *cluster) resend(t *rapid.T) {
	if len(c.log) == 0 {
		t.Skip("nothing to resend")
	}
	earlier := rapid.SampledFrom(c.log).Draw(t, "earlier")
	c.propose(earlier.command, earlier.content)
}

func (c *cluster) advance(t *rapid.T) {
	i := rapid.IntRange(0, len(c.hosts)-1).Draw(t, "host")
	for range rapid.IntRange(1, 8).Draw(t, "entries") {
		if c.applied[i] == len(c.log) {
			return
		}
		c.applyNext(t, i)
	}
}

func (c *cluster) applyNext(t *rapid.T, host int) {
	entry := c.log[c.applied[host]]
	c.applied[host]++
	data, err := configstate.EncodeCommand(entry.command)
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	answer := c.hosts[host].Apply(uint64(c.applied[host]), 1, data)
	if entry.firstAnswer == nil {
		entry.firstAnswer = answer
	}
	if !bytes.Equal(entry.firstAnswer, answer) {
		t.Fatalf("hosts returned different results for the same command: %q and %q", entry.firstAnswer, answer)
	}
	c.compare(t, entry, answer)
}

func (c *cluster) compare(t *rapid.T, entry *logEntry, answer []byte) {
	result, err := configstate.DecodeResult(answer)
	if err != nil {
		t.Fatalf("decode: %v", err)
	}
	got := expected{version: result.Version}
	if result.Refusal != nil {
		got.code = result.Refusal.Code
	}
	if result.Winner != nil {
		got.winner = result.Winner.Version
		if result.Winner.Author != c.oracle.authors[got.winner-1] || result.Winner.Digest != c.digest(got.winner) {
			t.Fatalf("wrong winner: %+v", result.Winner)
		}
	}
	if got != entry.want {
		t.Fatalf("result of command %+v: got %+v, want %+v", entry.command, got, entry.want)
	}
	if got.version > 0 && result.Digest != c.digest(got.version) {
		t.Fatalf("result for version %d has a wrong digest", got.version)
	}
}

func (c *cluster) text(version uint64) []byte {
	return []byte(c.oracle.accepted[version-1].text(" "))
}

func (c *cluster) digest(version uint64) string {
	key := c.oracle.accepted[version-1]
	if _, known := c.digests[key]; !known {
		c.digests[key] = rules.Digest(c.text(version))
	}
	return c.digests[key]
}

func (c *cluster) restart(t *rapid.T) {
	i := rapid.IntRange(0, len(c.hosts)-1).Draw(t, "host")
	snapshot, err := c.hosts[i].Snapshot()
	if err != nil {
		t.Fatalf("snapshot: %v", err)
	}
	c.hosts[i] = configstate.New()
	if err := c.hosts[i].Restore(snapshot); err != nil {
		t.Fatalf("restore: %v", err)
	}
	again, _ := c.hosts[i].Snapshot()
	if !bytes.Equal(snapshot, again) {
		t.Fatalf("the state of a restored host differs from its snapshot")
	}
}

// offer passes a random accepted version to a follower, sometimes with the
// digest of another content.
func (c *cluster) offer(t *rapid.T) {
	latest := len(c.oracle.accepted)
	if latest == 0 {
		t.Skip("nothing to offer")
	}
	f := rapid.SampledFrom(c.followers).Draw(t, "follower")
	version := uint64(rapid.IntRange(1, latest).Draw(t, "version"))
	digest := c.digest(version)
	wrongDigest := rapid.IntRange(0, 4).Draw(t, "forged") == 0
	if wrongDigest {
		digest = rules.Digest([]byte("other"))
	}
	before := f.Version()
	adopted, err := f.Offer(version, digest, c.text(version))
	if want := version > before && !wrongDigest; adopted != want {
		t.Fatalf("offer of version %d to a follower at version %d: adopted = %v", version, before, adopted)
	}
	if want := version >= before && wrongDigest; (err != nil) != want {
		t.Fatalf("offer of version %d to a follower at version %d, wrong digest = %v: error %v", version, before, wrongDigest, err)
	}
}

func (c *cluster) check(t *rapid.T) {
	for i, h := range c.hosts {
		c.checkCopy(t, i, h.Version(), h.Digest(), h.Text(), h.Config())
	}
	for i, f := range c.followers {
		c.checkCopy(t, len(c.hosts)+i, f.Version(), f.Digest(), f.Text(), f.Config())
	}
}

func (c *cluster) checkCopy(t *rapid.T, i int, version uint64, digest string, text []byte, cfg *structs.Config) {
	if version < c.versions[i] {
		t.Fatalf("copy %d went back from version %d to %d", i, c.versions[i], version)
	}
	c.versions[i] = version
	if version == 0 {
		return
	}
	if want := c.text(version); !bytes.Equal(text, want) || digest != c.digest(version) {
		t.Fatalf("copy %d has wrong content for version %d: %q", i, version, text)
	}
	if len(cfg.Customers) != len(c.oracle.accepted[version-1].customers) {
		t.Fatalf("copy %d has a wrong parsed configuration for version %d", i, version)
	}
}
