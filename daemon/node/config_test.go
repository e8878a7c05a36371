package node

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/daemon/group"
	"cranberrydrum.dev/scheduler/configstate"
	"cranberrydrum.dev/scheduler/rules"
)

// rulesWith returns rules that differ for each number of customers.
func rulesWith(customers int) string {
	text := "region zrh # Lea Brunner: main site\n" +
		"failure-domain zrh-oerlikon region=zrh keys=on racks=2 workers-per-rack=8 accelerators-per-worker=8 # Lea Brunner: first hall\n" +
		"keys retention=24h max-keys=100000 # Urs Kern: charges are settled daily\n" +
		"policy peak-demand=70% completion=30% # Urs Kern: route checks must not wait\n" +
		"token cadaee6d96cfc6f48b78f8783c9493f48be29ff3e90ac85c219f014cb73b1eae role=operator # Urs Kern: token of the test operators\n"
	for i := range customers {
		text += fmt.Sprintf("customer c%d weight=1 # Urs Kern: contract\n", i)
	}
	return text
}

// slowConfig is a configuration store whose writes wait until they are released.
type slowConfig struct {
	*configStore
	owner *configOwner
	// started receives the path of each write, which then waits for a result.
	started chan string
	results chan error
	changes chan uint64
}

func newSlowConfig(t *testing.T) *slowConfig {
	c := &slowConfig{configStore: newConfigStore(), started: make(chan string, 8), results: make(chan error, 8), changes: make(chan uint64, 8)}
	c.file = filepath.Join(t.TempDir(), configFile)
	c.write = func(path string, data []byte) error {
		c.started <- path
		if err := <-c.results; err != nil {
			return err
		}
		return writeFileSync(path, data)
	}
	c.onChange = func() { c.changes <- c.version() }
	c.owner = &configOwner{state: configstate.New(), config: c.configStore}
	return c
}

// commit commits a version in the log and takes a step of its owner, as the goroutine
// of the log does.
func (c *slowConfig) commit(g *WithT, text string) {
	command, err := configstate.EncodeCommand(configstate.Command{BaseVersion: c.owner.state.Version(), Text: []byte(text), Author: "ops"})
	g.Expect(err).NotTo(HaveOccurred())
	before := c.owner.state.Version()
	result, err := configstate.DecodeResult(c.owner.state.Apply(before+1, 1, command))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Version).To(Equal(before+1), "%+v", result)
	stepped := make(chan struct{})
	go func() {
		c.owner.Step(0, group.View{HoldsLease: true, Ready: true})
		close(stepped)
	}()
	g.Eventually(stepped, 5*time.Second).Should(BeClosed(), "the log waits for the disk")
}

// Guards against a log that loses its leader, and against requests and other logs that
// wait, while a slow disk stores a configuration. Guards against a version in force
// that a restart would revert.
func TestConfigurationIsStoredWithoutBlocking(t *testing.T) {
	g := NewWithT(t)
	c := newSlowConfig(t)
	c.commit(g, rulesWith(1))
	g.Eventually(c.started, 5*time.Second).Should(Receive(Equal(c.file)))
	read := make(chan uint64, 1)
	go func() { read <- c.version() }()
	g.Eventually(read, 5*time.Second).Should(Receive(BeZero()), "a version that is not stored yet is not in force")
	c.commit(g, rulesWith(2))
	c.commit(g, rulesWith(3))
	c.results <- nil
	g.Eventually(c.changes, 5*time.Second).Should(Receive(BeEquivalentTo(1)))
	g.Eventually(c.started, 5*time.Second).Should(Receive())
	g.Expect(c.version()).To(BeEquivalentTo(1))
	c.results <- nil
	g.Eventually(c.changes, 5*time.Second).Should(Receive(BeEquivalentTo(3)), "the version in between is obsolete")
	c.close()
	g.Expect(c.started).NotTo(Receive())
	g.Expect(c.readiness()).To(Equal(configstate.Readiness{Ready: true, Source: configstate.SourceQuorum, Version: 3, Required: 3}))

	restarted := newConfigStore()
	restarted.file = c.file
	g.Expect(restarted.load()).To(Succeed())
	g.Expect(restarted.version()).To(BeEquivalentTo(3))
}

// Guards against a host that serves under a version that it could not store.
func TestConfigurationThatCannotBeStoredIsNotInForce(t *testing.T) {
	g := NewWithT(t)
	c := newSlowConfig(t)
	failures := make(chan error, 1)
	c.onFailure = func(err error) { failures <- err }
	c.results <- os.ErrPermission
	c.commit(g, rulesWith(1))
	var failure error
	g.Eventually(failures, 5*time.Second).Should(Receive(&failure))
	g.Expect(errors.Is(failure, os.ErrPermission)).To(BeTrue())
	c.close()
	g.Expect(c.version()).To(BeZero())
	g.Expect(c.changes).NotTo(Receive())
}

// Guards against a version that is in force although it would be reverted by a restart,
// because it could not be written (P8).
func TestConfigurationIsNotInForceBeforeItIsSaved(t *testing.T) {
	g := NewWithT(t)
	dir := filepath.Join(t.TempDir(), "missing")
	s := newConfigStore()
	s.file = filepath.Join(dir, configFile)
	changes := 0
	s.onChange = func() { changes++ }
	text := []byte(serviceTestRules)
	g.Expect(s.install(1, rules.Digest(text), text)).NotTo(Succeed())
	g.Expect(s.current().Config).To(BeNil())
	g.Expect(s.knownVersion()).To(BeZero(), "the version is fetched again")
	g.Expect(changes).To(BeZero())

	g.Expect(os.Mkdir(dir, 0o700)).To(Succeed())
	g.Expect(s.install(1, rules.Digest(text), text)).To(Succeed())
	g.Expect(s.current().Version).To(Equal(uint64(1)))
	g.Expect(changes).To(Equal(1))
}

// Guards against a host on which a delayed notification of an earlier version replaces
// the services of the version in force (P8).
func TestDelayedNotificationKeepsTheVersionInForce(t *testing.T) {
	g := NewWithT(t)
	n, _, _ := newServingNode(t)
	reached, resume := make(chan struct{}), make(chan struct{})
	var seen atomic.Bool
	n.log = funcr.New(func(_, args string) {
		if strings.Contains(args, "configuration in force") && seen.CompareAndSwap(false, true) {
			close(reached)
			<-resume
		}
	}, funcr.Options{})
	delayed, changed := make(chan struct{}), make(chan struct{})
	go func() {
		n.configChanged()
		close(delayed)
	}()
	<-reached
	text := []byte(serviceTestRules + "service t slots=4 connections=8 retry-budget=10% max-attempts=2 attempt-timeout=2s # Ann: test\n" +
		"class t normal max-queue=10 deadline=2s # Ann: test\ngrant c service=t # Ann: test\n")
	go func() {
		defer close(changed)
		g.Expect(n.config.install(2, rules.Digest(text), text)).To(Succeed())
		n.configChanged()
	}()
	select {
	case <-changed:
	case <-time.After(300 * time.Millisecond):
	}
	close(resume)
	g.Eventually(delayed, "5s").Should(BeClosed())
	g.Eventually(changed, "5s").Should(BeClosed())
	g.Expect(n.config.version()).To(Equal(uint64(2)))
	g.Expect(n.service("t")).NotTo(BeNil())
}

// Guards against an accepted version that is in force on the other hosts only after two
// elections, because the first two leaders were lost before their next heartbeat.
func TestCommitOfAConfigurationIsAnnounced(t *testing.T) {
	g := NewWithT(t)
	n := &Node{}
	g.Expect(n.replicaConfig(groupConfig, raft.Membership{}).Raft.AnnounceCommit).To(BeTrue())
	g.Expect(n.replicaConfig(domainGroup("zrh-oerlikon"), raft.Membership{}).Raft.AnnounceCommit).To(BeFalse())
}
