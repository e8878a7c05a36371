package e2e_test

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"cranberrydrum.dev/daemon/loopback"
	"cranberrydrum.dev/daemon/settings"
)

// raceVariable is an environment variable. If it is 1, the daemon is built with
// the race detector.
const raceVariable = "CRANBERRYDRUM_E2E_RACE"

// daemonVariable is an environment variable with the path of a daemon to use. Without it
// the suite builds one.
const daemonVariable = "CRANBERRYDRUM_E2E_DAEMON"

const raceReport = "WARNING: DATA RACE"

var daemonBinary string

var _ = SynchronizedBeforeSuite(func() []byte {
	if path := os.Getenv(daemonVariable); path != "" {
		return []byte(path)
	}
	var args []string
	if os.Getenv(raceVariable) == "1" {
		args = append(args, "-race")
	}
	path, err := gexec.Build("cranberrydrum.dev/cmd/cranberrydrumd", args...)
	Expect(err).NotTo(HaveOccurred())
	return []byte(path)
}, func(path []byte) { daemonBinary = string(path) })

var _ = SynchronizedAfterSuite(func() {}, gexec.CleanupBuildArtifacts)

// hostSpec describes one host of the test deployment.
type hostSpec struct {
	id, domain, region string
	// diskless hosts have no data directory.
	diskless bool
}

// process is the daemon of one host. It may be restarted.
type process struct {
	hostSpec
	http, peer, data string
	args             []string
	cmd              *exec.Cmd
	log              *bytes.Buffer
	exited           chan struct{}
	// stoppedByTest is set when the test killed or stopped the process.
	stoppedByTest bool
}

func freeAddress() string {
	GinkgoHelper()
	address, err := loopback.FreeAddress()
	Expect(err).NotTo(HaveOccurred())
	return address
}

// daemonEnvironment returns the environment without the variables of this
// project: the daemon rejects those that are not settings, and the settings
// among them would change the test.
func daemonEnvironment() []string {
	return slices.DeleteFunc(os.Environ(), func(v string) bool { return strings.HasPrefix(v, settings.EnvPrefix) })
}

// start starts the daemon of a host. A restart appends to the log of earlier
// runs.
func (p *process) start() {
	p.cmd = exec.Command(daemonBinary, p.args...)
	p.cmd.Env = daemonEnvironment()
	p.cmd.Stderr = p.log
	p.exited = make(chan struct{})
	p.stoppedByTest = false
	Expect(p.cmd.Start()).To(Succeed())
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(p.cmd, p.exited)
}

func (p *process) signal(s syscall.Signal) { Expect(p.cmd.Process.Signal(s)).To(Succeed()) }

// kill ends the daemon with SIGKILL.
func (p *process) kill() {
	p.stoppedByTest = true
	p.signal(syscall.SIGKILL)
	Eventually(p.exited, "5s").Should(BeClosed())
}

// stop ends the daemon gracefully with SIGTERM.
func (p *process) stop() {
	p.stoppedByTest = true
	p.signal(syscall.SIGTERM)
	Eventually(p.exited, "25s").Should(BeClosed(), "host "+p.id)
	Expect(p.cmd.ProcessState.ExitCode()).To(Equal(0), "exit status of "+p.id)
}

// freeze suspends the daemon with SIGSTOP until unfreeze.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

func (p *process) unfreeze() { p.signal(syscall.SIGCONT) }

// checkData returns a description of a violation if the data directory of a running daemon is
// gone. A clean-up that removes it too early fails only if the daemon writes meanwhile.
func (p *process) checkData() (violation string) {
	select {
	case <-p.exited:
		return ""
	default:
	}
	if _, err := os.Stat(p.data); !p.diskless && err != nil {
		return "data directory of " + p.id + " was removed while it runs"
	}
	return ""
}

// terminate ends the process at the end of a spec. It returns a description of a
// violation: the daemon exited on its own or reported a data race.
func (p *process) terminate() (violation string) {
	select {
	case <-p.exited:
		if !p.stoppedByTest {
			violation = fmt.Sprintf("host %s exited on its own", p.id)
		}
	default:
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	if strings.Contains(p.log.String(), raceReport) {
		violation = "data race on " + p.id
	}
	return violation
}
