// Package direct serves callers straight from the backend servers, without agents: it resolves callers to entries,
// routes their HTTP requests, forwards them, resumes broken streams and refuses what can't be served.
//
// What the platform calls things is known to the functions in Wire alone. Decisions are in the packages balance and
// routing; this package moves bytes and keeps what is believed.
package direct
