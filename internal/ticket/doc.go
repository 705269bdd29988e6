// Package ticket decodes, validates and orders the operators' change tickets, and folds them into the configuration.
package ticket
