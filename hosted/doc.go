// Package hosted runs one instance on the users' platform: it wires the parts that serve callers there, and takes the instance out gracefully.
package hosted
