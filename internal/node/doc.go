// Package node joins the parts of one process: membership, connections, servers and shutdown.
package node
