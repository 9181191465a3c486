// Package caller accepts connections from callers and serves their sessions, independently of the protocol: it reads
// requests, passes them to the dispatcher and sends back the answers.
package caller
