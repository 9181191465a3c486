// Package wire contains the generated messages of the protocol between instances.
package wire

//go:generate protoc --go_out=../.. --go_opt=module=siskincove wire.proto
