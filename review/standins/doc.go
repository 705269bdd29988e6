// Command standins plays the platform, the engines and the consumers of the review's cases, and starts the project's programs.
//
// Each case is one scenario: it starts all processes on loopback addresses, writes what was sent, answered and run to a
// record, and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main
