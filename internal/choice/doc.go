// Package choice measures the decisions of package balance in virtual time against fake backend servers.
package choice
