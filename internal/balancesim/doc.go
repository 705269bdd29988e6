// Package balancesim simulates the load balancing of package balance in virtual time against fake backend servers.
package balancesim
