// Package demo sends the requests of two users through a fleet of real processes and checks each response.
package demo
