// Package acct holds the identifier of an account.
package acct

// ID identifies an account, the unit to which limits apply.
type ID string
