// Package examples embeds the questionnaires of two example deployments.
package examples

import "embed"

// Files contains a directory of questionnaires for each deployment.
//
//go:embed */*.toml
var Files embed.FS
