// Package fleet runs real entry and agent processes against stand-ins on loopback addresses.
package fleet
