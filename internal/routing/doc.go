// Package routing maps requests to services, teams and usable backend servers, from the operators' configuration and the
// registrations of backend servers.
//
// A View is immutable once published, so it is safe for concurrent use.
package routing
