// Package testkit holds the assertion functions and fixed seeds that tests share.
package testkit
