// Package group decides which endpoint of a database group serves a statement, from what this instance has seen of them: who leads, how far the logs are, how loaded each is. It knows no clock and no network.
package group
