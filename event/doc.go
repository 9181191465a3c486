// Package event defines the catalogue of numbered log events and writes them through apex/log.
package event
