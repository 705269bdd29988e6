// Package kernel holds the registry in which plug-ins enter themselves.
package kernel
