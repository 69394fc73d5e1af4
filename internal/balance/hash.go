package balance

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"peridotwinch.example/peridotwinch/api"
)

func hashString(s string) uint64 { return xxhash.Sum64String(s) }

// mix combines two hashes; it is the finalizer of SplitMix64 over their sum.
func mix(a, b uint64) uint64 {
	x := a + b*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unit maps a hash to the open interval (0, 1).
func unit(x uint64) float64 { return (float64(x>>11) + 0.5) / (1 << 53) }

// rendezvousScore is the weighted rendezvous hashing score of a server for a chat;
// the server with the highest score ranks first.
func rendezvousScore(chat, server uint64, weight float64) float64 {
	return -weight / math.Log(unit(mix(chat, server)))
}

func isLong(request *Request) bool { return request.Class == api.ClassLong }
