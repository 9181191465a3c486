// Package simulation runs the proxy's routing, admission, connection and retry code against modelled endpoints and callers,
// without a network. Tests run it in virtual time (testing/synctest).
package simulation
