// Package outage measures the service of real processes while an availability zone leaves and returns.
package outage
