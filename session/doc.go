// Package session decides what a session may read: its token, its barrier and whether an endpoint is fresh enough. It knows no clock and no network.
package session
