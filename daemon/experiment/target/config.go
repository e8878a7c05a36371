package target

import (
	"strconv"
	"sync"
	"time"

	"cranberrydrum.dev/daemon/api"
)

const (
	configBound   = 3 * time.Second
	configTimeout = 15 * time.Second
)

// apply changes the rules through one host and returns the time from the
// acceptance until they are in force on all hosts.
func (c *cluster) apply(via *host) (time.Duration, error) {
	c.edits++
	request := api.RulesApplyRequest{BaseVersion: c.version, Text: rulesText(c.size, c.edits), Author: "Ada", RequestID: "edit-" + strconv.Itoa(c.edits)}
	response, err := via.client.ApplyRules(request)
	if err != nil {
		return 0, &SetupError{What: "rules", Cause: err}
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

func (h *host) awaitVersion(version uint64) {
	within(configTimeout, func() bool {
		r, err := h.client.Rules()
		return err == nil && r.Version >= version
	})
}

// applyFirst sets up the first rules once the hosts answer.
func (c *cluster) applyFirst() error {
	var failure error
	ok := within(startTimeout, func() bool {
		_, failure = c.apply(c.hosts[0])
		return failure == nil
	})
	if !ok {
		return failure
	}
	return nil
}

// changes measures configuration changes through different hosts.
func (r *run) changes(name string) error {
	var took []time.Duration
	for i := range r.size.changes {
		d, err := r.cluster.apply(r.cluster.hosts[i%len(r.cluster.hosts)])
		if err != nil {
			return err
		}
		took = append(took, d)
	}
	r.times(name, took, configBound)
	return nil
}
