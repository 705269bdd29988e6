// Package platform is an HTTP client for the platform's configuration service and instance list.
package platform
