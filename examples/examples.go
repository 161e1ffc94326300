// Package examples holds the questionnaires of two deployments.
package examples

import "embed"

// Files holds a directory of questionnaires for each deployment.
//
//go:embed */*.toml
var Files embed.FS
