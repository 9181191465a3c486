// Package revision keeps an instance at the highest published configuration revision: it polls the platform's store, learns
// of revisions from peers and fetches the configuration objects from either.
package revision
