package workload

import (
	"strings"
	"time"
)

// Queue is a job queue that customers submit to. The host and the path of a request
// select it by Host and Prefix.
type Queue struct {
	Name    string `msgpack:"n"`
	Host    string `msgpack:"h"`
	Prefix  string `msgpack:"p"`
	Service string `msgpack:"s"`
	// Priority 0 is the highest priority. Its jobs are called urgent and may preempt
	// other jobs.
	Priority    int `msgpack:"r"`
	MaxAttempts int `msgpack:"m"`
	// Stretch and Target give the objective for the completion time of a job: Stretch
	// times the estimated run time of the longest chain of dependent steps, plus
	// Target.
	Stretch float64       `msgpack:"x"`
	Target  time.Duration `msgpack:"t"`
	Timeout time.Duration `msgpack:"o"`
	// Public is set if requests need no customer key.
	Public bool `msgpack:"u"`
	// Advice is set if starting tasks of the queue requires a ticket of the advice
	// service.
	Advice *Advice `msgpack:"a,omitempty"`
}

// Advice describes the latency of the advice service and the validity of its tickets.
type Advice struct {
	// A reply takes BaseLatency, plus LatencyPerExecutor for each executor in the
	// request.
	BaseLatency        time.Duration `msgpack:"d"`
	LatencyPerExecutor time.Duration `msgpack:"e"`
	// TicketTTL is the validity period of a ticket.
	TicketTTL time.Duration `msgpack:"v"`
}

// Service is a pool of executors.
type Service struct {
	Name       string `msgpack:"n"`
	HealthPath string `msgpack:"h"`
	// EnforcesCapacity is set if the executors reject tasks that exceed their free capacity.
	EnforcesCapacity bool `msgpack:"e"`
	// Spare is set if the executors of the pool are switched off.
	Spare bool `msgpack:"s"`
}

// Customer is a tenant with its keys and its guarantee.
type Customer struct {
	Name string   `msgpack:"n"`
	Keys []string `msgpack:"k"`
	// GuaranteedGPU is the number of accelerators guaranteed to the urgent jobs of the
	// customer.
	GuaranteedGPU int64 `msgpack:"g"`
}

// Config is one complete version of the configuration.
type Config struct {
	Version   int64      `msgpack:"v"`
	Queues    []Queue    `msgpack:"q"`
	Services  []Service  `msgpack:"s"`
	Customers []Customer `msgpack:"c"`
	// MaxBodyBytes bounds the body of a call; 0 means no bound.
	MaxBodyBytes int `msgpack:"b"`
	// Document is the configuration as the operator sent it.
	Document []byte `msgpack:"d"`
}

// Validate returns an error if the configuration is invalid.
func (c *Config) Validate() error {
	services := map[string]bool{}
	for _, s := range c.Services {
		services[s.Name] = true
	}
	routes := map[string]bool{}
	for _, q := range c.Queues {
		route := strings.ToLower(q.Host) + " " + q.Prefix
		switch {
		case !services[q.Service]:
			return &ConfigError{Item: "queue " + q.Name, Reason: "unknown service " + q.Service}
		case routes[route]:
			return &ConfigError{Item: "queue " + q.Name, Reason: "shares host and prefix with another"}
		case q.Timeout <= 0:
			return &ConfigError{Item: "queue " + q.Name, Reason: "no timeout"}
		}
		routes[route] = true
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

// index holds maps for look-ups in the configuration by host, key and name.
type index struct {
	byHost    map[string][]*Queue
	places    map[Place]*Queue
	queues    map[string]*Queue
	customers map[string]*Customer
	services  map[string]*Service
	keys      map[string]string
}

func newIndex(c *Config) *index {
	idx := &index{
		byHost: map[string][]*Queue{}, places: map[Place]*Queue{}, queues: map[string]*Queue{}, keys: map[string]string{},
		customers: map[string]*Customer{}, services: map[string]*Service{},
	}
	for i := range c.Queues {
		q := &c.Queues[i]
		host := strings.ToLower(q.Host)
		idx.byHost[host] = append(idx.byHost[host], q)
		idx.places[q.Place()] = q
		idx.queues[q.Name] = q
	}
	for i := range c.Services {
		idx.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Customers {
		customer := &c.Customers[i]
		idx.customers[customer.Name] = customer
		for _, key := range customer.Keys {
			idx.keys[key] = customer.Name
		}
	}
	return idx
}

// match returns the queue whose prefix is the longest one that matches a path, or nil.
func (idx *index) match(host, path string) *Queue {
	var longest *Queue
	for _, q := range idx.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.Prefix) && (longest == nil || len(q.Prefix) > len(longest.Prefix)) {
			longest = q
		}
	}
	return longest
}
