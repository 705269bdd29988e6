// Package intake accepts connections of clients that may not behave: it counts what each connection holds by package memory, bounds
// heads while they are received, and evicts connections for others.
//
// A Listener stands between a port and any server on it. The server reads from a Conn as from any connection; the Conn takes the
// memory of a head before the server parses it, and refuses a head that is too large, or for which there is no room, by itself. Servers
// that count bodies themselves call HeadRead once a handler runs; for others each byte of a request counts until EndRequest.
package intake
