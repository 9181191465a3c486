// Package hosted runs an instance on the users' platform: it constructs and connects the components, serves readiness and metrics, and shuts the instance down gracefully.
package hosted
