// Package routing selects the failure domain that serves a request, the home
// of a request key, and the hosts that hold the replicas of a log. It is pure.
package routing
