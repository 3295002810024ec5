// Command dragonflyroute runs an entry host of a serving system on reclaimable hosts, and is the operators' and
// callers' command-line tool for it.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:]))
}
