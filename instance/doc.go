// Package instance constructs and connects the components of an instance that serves PostgreSQL callers: caller connections, endpoint pools, failover coordinators, membership and configuration. It also serves health and metrics and shuts the instance down gracefully.
package instance
