package main

const (
	routeHost   = "nony24.example"
	routePrefix = "/lohu930/"
	serviceName = "huvo11a"
	clientKey   = "d4a3hwrr6x73d3zji9n7"

	urgentPrefix = "/pufi791/"
	otherKey     = "3hh2b9wu3fexd9dnn2ct"
)

type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"path_prefix"`
	Kind        string  `json:"kind"`
	TimeoutMS   int     `json:"timeout_ms"`
	TargetMS    int     `json:"target_latency_ms"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"max_attempts"`
	Stretch     float64 `json:"stretch"`
	Public      bool    `json:"public"`
	Advice      *advice `json:"advice,omitempty"`
}

type advice struct {
	DecideMS int `json:"decide_ms"`
	EachMS   int `json:"each_ms"`
	ValidMS  int `json:"valid_ms"`
}

type service struct {
	Name             string `json:"name"`
	HealthPath       string `json:"health_path"`
	MaxConnections   int    `json:"max_connections"`
	Protocol         string `json:"protocol"`
	TLS              bool   `json:"tls"`
	EnforcesCapacity bool   `json:"enforces_capacity"`
	Spare            bool   `json:"spare"`
}

type tenant struct {
	Name       string         `json:"name"`
	APIKeys    []string       `json:"api_keys"`
	Priority   int            `json:"priority"`
	Guaranteed map[string]int `json:"guaranteed"`
}

type configuration struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
	Tenants  []tenant       `json:"tenants"`
}

func newRoute(name string) route {
	return route{
		Name: name, Host: routeHost, Prefix: routePrefix, Kind: "non_idempotent", TimeoutMS: 3000, TargetMS: 1500,
		Priority: 1, Service: serviceName, MaxAttempts: 4, Stretch: 3,
	}
}

func newConfiguration(version int, routes ...route) configuration {
	return configuration{
		Version: version, Routes: routes,
		Services: []service{{Name: serviceName, HealthPath: "/health", MaxConnections: 64, Protocol: "h1"}},
		Limits:   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		Tenants:  []tenant{{Name: "kaje80", APIKeys: []string{clientKey}, Priority: 1, Guaranteed: map[string]int{"gpu": 8}}},
	}
}
