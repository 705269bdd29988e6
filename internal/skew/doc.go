// Package skew measures step-time skew and the cost of rebalancing under popularity that drifts.
package skew
