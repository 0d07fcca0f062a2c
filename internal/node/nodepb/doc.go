// Package nodepb holds the generated messages and the drpc service that nodes exchange.
//
// Regenerate it with `make generate` after a change of node.proto.
package nodepb
