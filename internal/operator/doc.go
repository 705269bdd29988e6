// Package operator serves and queries the status, configuration state and routing decisions of processes for operators.
package operator
