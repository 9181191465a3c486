// Package directory tracks the operator's configuration and the registered endpoints. It reads them from the store and takes
// newer ones from peers, because only some instances poll the endpoints and because the store may not answer.
package directory
