// Package http1 checks what HTTP/1 libraries let pass: statuses that the protocol does not have.
package http1
