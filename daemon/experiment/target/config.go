package target

import (
	"strconv"
	"sync"
	"time"

	"cranberrydrum.dev/daemon/api"
)

const (
	// configBound is the allowed time until a change is in force on all hosts.
	configBound   = 3 * time.Second
	configTimeout = 15 * time.Second
)

// applyRules changes the rules through one host and returns the time from their
// acceptance until all running hosts have them.
func (c *cluster) applyRules(via *host) (time.Duration, error) {
	c.edits++
	request := api.RulesApplyRequest{BaseVersion: c.version, Text: rulesText(c.size, c.edits), Author: "Ada", RequestID: "edit-" + strconv.Itoa(c.edits)}
	response, err := via.client.ApplyRules(request)
	if err != nil {
		return 0, &SetupError{Step: "rules", Cause: err}
	}
	accepted := time.Now()
	c.version = response.Version
	var wait sync.WaitGroup
	for _, h := range c.hosts {
		if h.cmd != nil {
			wait.Go(func() { h.awaitVersion(response.Version) })
		}
	}
	wait.Wait()
	return time.Since(accepted), nil
}

// awaitVersion waits until the host has a version of the rules or the timeout has
// passed.
func (h *host) awaitVersion(version uint64) {
	pollUntil(configTimeout, func() bool {
		r, err := h.client.Rules()
		return err == nil && r.Version >= version
	})
}

// applyInitialRules applies the first rules. It retries until the hosts are up.
func (c *cluster) applyInitialRules() error {
	var failure error
	ok := pollUntil(startTimeout, func() bool {
		_, failure = c.applyRules(c.hosts[0])
		return failure == nil
	})
	if !ok {
		return failure
	}
	return nil
}

// measureChanges measures configuration changes, each through the next host.
func (r *run) measureChanges(name string) error {
	var elapsed []time.Duration
	for i := range r.size.changes {
		d, err := r.cluster.applyRules(r.cluster.hosts[i%len(r.cluster.hosts)])
		if err != nil {
			return err
		}
		elapsed = append(elapsed, d)
	}
	r.addPercentiles(name, elapsed, configBound)
	return nil
}
