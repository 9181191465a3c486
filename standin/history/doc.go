// Package history checks what callers saw and what endpoints ran against the promises made to callers.
package history
