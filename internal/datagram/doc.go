// Package datagram encodes the messages that processes exchange by UDP.
package datagram
