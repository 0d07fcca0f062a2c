// Package nodepb contains the generated messages and drpc services of the protocol between nodes.
//
// Regenerate it with `make generate` after a change of node.proto.
package nodepb
