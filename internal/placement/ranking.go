package placement

// ranking orders servers by their rendezvous hashing scores, the highest first. Most
// requests need the first few of thousands, so it is a heap from which servers are taken as needed.
type ranking struct {
	heap []rankedServer
	// ordered are the servers that were taken.
	ordered []*Server
}

type rankedServer struct {
	score  uint64
	server *Server
}

func newRanking(servers []*Server, scoreOf func(*Server) uint64) *ranking {
	r := &ranking{heap: make([]rankedServer, len(servers))}
	for i, s := range servers {
		r.heap[i] = rankedServer{scoreOf(s), s}
	}
	for i := len(r.heap)/2 - 1; i >= 0; i-- {
		r.down(i)
	}
	return r
}

// at returns the i-th server in the order.
func (r *ranking) at(i int) *Server {
	for len(r.ordered) <= i {
		r.ordered = append(r.ordered, r.heap[0].server)
		last := len(r.heap) - 1
		r.heap[0] = r.heap[last]
		r.heap = r.heap[:last]
		r.down(0)
	}
	return r.ordered[i]
}

// down moves the i-th element of the heap down to its place.
func (r *ranking) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(r.heap) {
			return
		}
		if child+1 < len(r.heap) && r.heap[child+1].score > r.heap[child].score {
			child++
		}
		if r.heap[i].score >= r.heap[child].score {
			return
		}
		r.heap[i], r.heap[child] = r.heap[child], r.heap[i]
		i = child
	}
}

// smallest returns the n-th smallest of the values, counted from 0, without sorting all of them. It
// reorders the values.
func smallest(values []float64, n int) float64 {
	low, high := 0, len(values)-1
	for low < high {
		pivot := values[low+(high-low)/2]
		i, j := low, high
		for i <= j {
			for values[i] < pivot {
				i++
			}
			for values[j] > pivot {
				j--
			}
			if i <= j {
				values[i], values[j] = values[j], values[i]
				i, j = i+1, j-1
			}
		}
		switch {
		case n <= j:
			high = j
		case n >= i:
			low = i
		default:
			return values[n]
		}
	}
	return values[n]
}
