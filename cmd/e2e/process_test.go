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

// raceVariable set to 1 builds the daemon with the race detector.
const raceVariable = "CRANBERRYDRUM_E2E_RACE"

const raceReport = "WARNING: DATA RACE"

var daemonBinary string

var _ = SynchronizedBeforeSuite(func() []byte {
	var args []string
	if os.Getenv(raceVariable) == "1" {
		args = append(args, "-race")
	}
	path, err := gexec.Build("cranberrydrum.dev/cmd/cranberrydrumd", args...)
	Expect(err).NotTo(HaveOccurred())
	return []byte(path)
}, func(path []byte) { daemonBinary = string(path) })

var _ = SynchronizedAfterSuite(func() {}, gexec.CleanupBuildArtifacts)

// place is one host of the test deployment.
type place struct {
	id, domain, region string
	// diskless hosts have no data folder.
	diskless bool
}

// process is one running daemon.
type process struct {
	place
	http, peer, data string
	args             []string
	cmd              *exec.Cmd
	log              *bytes.Buffer
	exited           chan struct{}
	// ended is set when the test itself ended the process.
	ended bool
}

func freeAddress() string {
	GinkgoHelper()
	address, err := loopback.FreeAddress()
	Expect(err).NotTo(HaveOccurred())
	return address
}

// daemonEnvironment leaves out the variables of this project: the daemon
// refuses those that are no settings, and the others would change the test.
func daemonEnvironment() []string {
	return slices.DeleteFunc(os.Environ(), func(v string) bool { return strings.HasPrefix(v, settings.EnvPrefix) })
}

// start runs the daemon of a host. A restart keeps the log of earlier runs.
func (p *process) start() {
	p.cmd = exec.Command(daemonBinary, p.args...)
	p.cmd.Env = daemonEnvironment()
	p.cmd.Stderr = p.log
	p.exited = make(chan struct{})
	p.ended = false
	Expect(p.cmd.Start()).To(Succeed())
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(p.cmd, p.exited)
}

func (p *process) signal(s syscall.Signal) { Expect(p.cmd.Process.Signal(s)).To(Succeed()) }

// kill ends a daemon without notice.
func (p *process) kill() {
	p.ended = true
	p.signal(syscall.SIGKILL)
	Eventually(p.exited, "5s").Should(BeClosed())
}

// stop ends a daemon gracefully.
func (p *process) stop() {
	p.ended = true
	p.signal(syscall.SIGTERM)
	Eventually(p.exited, "25s").Should(BeClosed(), "host "+p.id)
	Expect(p.cmd.ProcessState.ExitCode()).To(Equal(0), "exit status of "+p.id)
}

// freeze suspends a daemon until thaw.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

func (p *process) thaw() { p.signal(syscall.SIGCONT) }

// end ends the process at the end of a spec. It returns what a healthy daemon
// does not do: to exit on its own, or to report a data race.
func (p *process) end() (fault string) {
	select {
	case <-p.exited:
		if !p.ended {
			fault = fmt.Sprintf("host %s ended on its own", p.id)
		}
	default:
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	if strings.Contains(p.log.String(), raceReport) {
		fault = "data race on " + p.id
	}
	return fault
}
