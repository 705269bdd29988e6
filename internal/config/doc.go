// Package config reads the settings of a process and checks each of them.
package config
