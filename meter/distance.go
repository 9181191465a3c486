package meter

import "strings"

// Distance is how far apart two failure domains are.
type Distance string

// Distances, from near to far. UnknownDistance is that of an instance which is not known yet.
const (
	SameDomain      Distance = "domain"
	SameRegion      Distance = "region"
	OtherRegion     Distance = "far"
	UnknownDistance Distance = "unknown"
)

// DistanceBetween returns the distance of two failure domains, each written as region/domain.
func DistanceBetween(a, b string) Distance {
	regionA, _, _ := strings.Cut(a, "/")
	regionB, _, _ := strings.Cut(b, "/")
	switch {
	case a == "" || b == "":
		return UnknownDistance
	case a == b:
		return SameDomain
	case regionA == regionB:
		return SameRegion
	default:
		return OtherRegion
	}
}
