// Package node assembles and runs one process: membership, connections, servers and graceful shutdown.
package node
