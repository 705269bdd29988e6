// Package demo sends two users' requests through a fleet of real processes and checks each answer.
package demo
