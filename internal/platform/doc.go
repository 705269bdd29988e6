// Package platform reads the platform's configuration service and list of instances over HTTP.
package platform
