// Package logs reads the logs of instances and explains from them what happened to requests.
package logs
