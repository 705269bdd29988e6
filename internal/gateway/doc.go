// Package gateway implements the entry that proxies callers' HTTP requests straight to backend servers: it lists entries
// to callers, routes and forwards requests, resumes interrupted streams, and rejects what it can't serve. The package also
// starts the agents beside the ranks of groups.
//
// Only the functions of Protocol know the platform's header names, paths and record formats. The packages balance and
// routing make the decisions; this package does the I/O and keeps the cluster state.
package gateway
