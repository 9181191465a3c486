// Package session decides which endpoints a session may read from. It implements session tokens, barriers and the check
// whether an endpoint is fresh enough, and uses neither a clock nor the network.
package session
