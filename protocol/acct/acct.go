// Package acct holds one identifier.
package acct

// ID names an account: a customer whose limits are counted together.
type ID string
