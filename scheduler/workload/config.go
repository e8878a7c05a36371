package workload

import (
	"strings"
	"time"
)

// Queue is a place that customers hand jobs in at.
type Queue struct {
	Name    string `msgpack:"n"`
	Host    string `msgpack:"h"`
	Prefix  string `msgpack:"p"`
	Service string `msgpack:"s"`
	// Priority 0 comes first and may preempt others.
	Priority    int `msgpack:"r"`
	MaxAttempts int `msgpack:"m"`
	// Stretch times the longest chain of work, and Target more, is the
	// objective for the completion time of a job.
	Stretch float64       `msgpack:"x"`
	Target  time.Duration `msgpack:"t"`
	Timeout time.Duration `msgpack:"o"`
	// Public queues need no key.
	Public bool `msgpack:"u"`
	// Advice is set for queues whose starts need a ticket of the advice service.
	Advice *Advice `msgpack:"a,omitempty"`
}

// Advice describes the answers of the advice service.
type Advice struct {
	// An answer takes Decide, and Each more for each executor named.
	Decide time.Duration `msgpack:"d"`
	Each   time.Duration `msgpack:"e"`
	// Valid is how long a ticket is valid.
	Valid time.Duration `msgpack:"v"`
}

// Service is a pool of executors.
type Service struct {
	Name       string `msgpack:"n"`
	HealthPath string `msgpack:"h"`
	// Enforces is set if the executors reject what exceeds their room.
	Enforces bool `msgpack:"e"`
	// Spare pools are switched off.
	Spare bool `msgpack:"s"`
}

// Customer is a tenant with its keys and its guarantee.
type Customer struct {
	Name string   `msgpack:"n"`
	Keys []string `msgpack:"k"`
	// GuaranteedGPU is the number of accelerators kept for urgent jobs.
	GuaranteedGPU int64 `msgpack:"g"`
}

// Config is one complete version of the configuration.
type Config struct {
	Version   int64      `msgpack:"v"`
	Queues    []Queue    `msgpack:"q"`
	Services  []Service  `msgpack:"s"`
	Customers []Customer `msgpack:"c"`
	// MaxBodyBytes bounds the body of a call; 0 is no bound.
	MaxBodyBytes int `msgpack:"b"`
	// Document is the configuration as the operator sent it.
	Document []byte `msgpack:"d"`
}

// Validate reports why the configuration cannot take effect, or nil.
func (c *Config) Validate() error {
	services := map[string]bool{}
	for _, s := range c.Services {
		services[s.Name] = true
	}
	places := map[string]bool{}
	for _, q := range c.Queues {
		place := strings.ToLower(q.Host) + " " + q.Prefix
		switch {
		case !services[q.Service]:
			return &ConfigError{Item: "queue " + q.Name, Reason: "unknown service " + q.Service}
		case places[place]:
			return &ConfigError{Item: "queue " + q.Name, Reason: "shares host and prefix with another"}
		case q.Timeout <= 0:
			return &ConfigError{Item: "queue " + q.Name, Reason: "no timeout"}
		}
		places[place] = true
	}
	owners := map[string]string{}
	for _, customer := range c.Customers {
		for _, key := range customer.Keys {
			if owner, taken := owners[key]; taken && owner != customer.Name {
				return &ConfigError{Item: "customer " + customer.Name, Reason: "shares a key with " + owner}
			}
			owners[key] = customer.Name
		}
	}
	return nil
}

// index makes look-ups by place, key and name cheap.
type index struct {
	byHost    map[string][]*Queue
	queues    map[string]*Queue
	customers map[string]*Customer
	services  map[string]*Service
	keys      map[string]string
}

func newIndex(c *Config) *index {
	x := &index{
		byHost: map[string][]*Queue{}, queues: map[string]*Queue{}, keys: map[string]string{},
		customers: map[string]*Customer{}, services: map[string]*Service{},
	}
	for i := range c.Queues {
		q := &c.Queues[i]
		host := strings.ToLower(q.Host)
		x.byHost[host] = append(x.byHost[host], q)
		x.queues[q.Name] = q
	}
	for i := range c.Services {
		x.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Customers {
		customer := &c.Customers[i]
		x.customers[customer.Name] = customer
		for _, key := range customer.Keys {
			x.keys[key] = customer.Name
		}
	}
	return x
}

// match returns the queue with the longest prefix of a path, or nil.
func (x *index) match(host, path string) *Queue {
	var best *Queue
	for _, q := range x.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}
