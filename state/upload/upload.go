// Package upload describes request bodies that are being received.
package upload

// Upload is a request body that is being received. It is compared by its pointer.
type Upload struct {
	// Address is the IP address that the body comes from.
	Address string
	// Abort ends the pending read of the body and all later ones. It must not block.
	Abort func()
}
