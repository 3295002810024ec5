package main

import (
	_ "embed"
	"fmt"
	"strings"
)

// versionText is the version from version.txt.
//
//go:embed version.txt
var versionText string

type versionArgs struct {
	JSON bool `name:"json" help:"Print JSON."`
}

var versionCommand = command{name: "version", help: "Prints the version.", args: &versionArgs{}}

// Run prints the program's version.
func (a *versionArgs) Run() error {
	version := strings.TrimSpace(versionText)
	if a.JSON {
		return printJSON(map[string]string{"version": version})
	}
	fmt.Println(version)
	return nil
}
