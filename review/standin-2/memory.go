package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// memoryLimitMB is memory_mb of the machines: a process that uses more is killed.
	memoryLimitMB = 280
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	memoryPoll   = 50 * time.Millisecond
)

// enforceMemoryLimit does what the platform does about the memory of the control hosts: it
// kills a process that uses more than the limit, and starts it again. Only anonymous memory
// counts, so that the pages of the program and of files are left out.
func (d *deployment) enforceMemoryLimit() {
	stopped := make(chan struct{})
	d.onStop(func() { close(stopped) })
	for _, host := range d.controls() {
		go func() {
			for {
				select {
				case <-stopped:
					return
				case <-time.After(memoryPoll):
				}
				if used := d.memoryMB(host); used > memoryLimitMB {
					d.rec.add("the process on %s uses %d MB of %d MB", host, used, memoryLimitMB)
					d.kill(host)
					d.mu.Lock()
					d.memoryKills[host]++
					d.mu.Unlock()
					time.Sleep(restartDelay)
					select {
					case <-stopped:
						return
					default:
					}
					if err := d.start(host, "control", false); err != nil {
						d.rec.add("cannot start %s again: %v", host, err)
					}
				}
			}
		}()
	}
}

// memoryMB returns the anonymous memory of the process of a host, or 0 if it does not run.
func (d *deployment) memoryMB(host string) int {
	d.mu.Lock()
	cmd := d.processes[host]
	d.mu.Unlock()
	if cmd == nil {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kB, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kB / 1024
		}
	}
	return 0
}
