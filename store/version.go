package store

// Version is a position in the history of the store. The store may be restored from an older copy: its era rises by one, and
// it gives out numbers again. Versions are ordered by era, then by number, so that each one of a later era is greater than
// all of earlier eras. The zero Version stands for a row that does not exist.
type Version uint64

// numberBits is how many bits of a Version hold its number.
const numberBits = 44

// NewVersion returns the version with a number in an era.
func NewVersion(era, number uint64) Version {
	return Version(era<<numberBits | number&(1<<numberBits-1))
}

// Era returns how many times the store had been restored, as the platform counts it.
func (v Version) Era() uint64 { return uint64(v) >> numberBits }

// Number returns the store's own number of the version, which is unique only within its era.
func (v Version) Number() uint64 { return uint64(v) & (1<<numberBits - 1) }
