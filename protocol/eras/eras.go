// Package eras orders the versions of a store that may be restored from an older copy.
//
// A restored store gives out versions again that it gave out before, for other writes. It counts its restores, so that a
// version together with the era in which a process saw it means one write and no other, and grows with time.
package eras

// Era is the number of times that a store has been restored; 0 also for a store that does not count.
type Era int64

// versionBits is the number of bits of the store's own version within a qualified one. At 1,000 writes a second they last
// for 34 years, and leave enough bits that a qualified version is exact as a floating-point number for 8,191 restores.
const versionBits = 40

// Qualify returns the version of the store in an era. Those of a later era are higher than all of earlier ones. A version
// that the store can't have given out counts as 0.
func (e Era) Qualify(version int64) int64 {
	if version < 0 || version >= 1<<versionBits {
		version = 0
	}
	return int64(e)<<versionBits | version
}

// Of returns the era of a qualified version.
func Of(version int64) Era { return Era(version >> versionBits) }

// Local returns the store's own version within a qualified one.
func Local(version int64) int64 { return version & (1<<versionBits - 1) }
