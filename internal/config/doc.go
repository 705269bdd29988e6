// Package config loads, validates and describes the settings of a process.
package config
