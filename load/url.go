package load

import "net/url"

// URL returns the connection string of a caller for a database at an address, without TLS.
func URL(address, caller, password, database string) string {
	u := url.URL{
		Scheme: "postgres", User: url.UserPassword(caller, password), Host: address,
		Path: "/" + database, RawQuery: "sslmode=disable",
	}
	return u.String()
}
