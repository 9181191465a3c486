// Package allotment limits the operations of workspaces on all instances together. Some instances keep accounts of a workspace,
// which grant its operations to the instances that start them; see docs/design/allotments.md.
package allotment
