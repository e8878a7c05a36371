// Package routing selects the failure domain that serves a request, the home
// of a request key, and the hosts that hold the replicas of a log. The package has
// no side effects: time is an argument, and the caller does all input and output.
package routing
