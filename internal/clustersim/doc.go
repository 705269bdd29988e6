// Package clustersim simulates a cluster of members in one process under a manual clock, and measures how calls, traffic and
// propagation delays grow with the number of members.
package clustersim
