// Package fleet runs real entries and agents among stand-ins on loopback addresses.
package fleet
