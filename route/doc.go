// Package route decides which endpoint serves a request, from what is known of a database's endpoints. It knows no clock and no network.
package route
