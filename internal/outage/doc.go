// Package outage measures the service of real processes while an availability zone is evacuated and restored.
package outage
