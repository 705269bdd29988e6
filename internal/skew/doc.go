// Package skew simulates expert placement under drifting expert popularity and measures load skew and rebalancing cost.
package skew
