// Package datagram encodes what the processes of an installation tell one another by UDP.
package datagram
