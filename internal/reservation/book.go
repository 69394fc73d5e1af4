package reservation

// Outgoing is a message to the owner of a server.
type Outgoing struct {
	Owner string
	Message
}

// Tracker is a router's side of all its places, whoever owns the servers. It
// follows changes of the owners. It is not safe for concurrent use.
type Tracker struct {
	self    string
	servers map[string]*booked
	holders map[string]*Holder
}

// booked is what a router has on one server.
type booked struct {
	owner string
	count int
}

// NewTracker returns the tracker without places of the router of a name.
func NewTracker(self string) *Tracker {
	return &Tracker{self: self, servers: make(map[string]*booked), holders: make(map[string]*Holder)}
}

// Owner returns the owner that a server was last assigned to, or "".
func (b *Tracker) Owner(server string) string {
	if entry := b.servers[server]; entry != nil {
		return entry.owner
	}
	return ""
}

// Len returns the number of servers that the tracker has an entry of.
func (b *Tracker) Len() int { return len(b.servers) }

// Assign records the owner of a server, and moves the places there to it.
func (b *Tracker) Assign(server, owner string) []Outgoing {
	entry := b.entry(server)
	if entry.owner == owner {
		return nil
	}
	former := entry.owner
	entry.owner = owner
	var out []Outgoing
	for range entry.count {
		out = append(out, b.release(server, former)...)
		out = append(out, b.take(server, owner)...)
	}
	return out
}

// Forget drops the entries of servers without places that keep does not name.
func (b *Tracker) Forget(keep func(server string) bool) {
	for server, entry := range b.servers {
		if entry.count == 0 && !keep(server) {
			delete(b.servers, server)
		}
	}
}

// Request asks the owner of a server for a place for a request.
func (b *Tracker) Request(server string, token Token, firm bool) []Outgoing {
	owner := b.entry(server).owner
	message, ok := b.holder(owner).Request(server, token, firm)
	return outgoing(owner, message, ok)
}

// AddUngranted counts a place that no owner has granted.
func (b *Tracker) AddUngranted(server string) []Outgoing {
	entry := b.entry(server)
	entry.count++
	return b.take(server, entry.owner)
}

// Release gives a place back.
func (b *Tracker) Release(server string) []Outgoing {
	entry := b.entry(server)
	if entry.count == 0 {
		return nil
	}
	entry.count--
	return b.release(server, entry.owner)
}

// HandleAnswer takes an owner's answer: the requests that got a place, and those
// that did not.
func (b *Tracker) HandleAnswer(owner, server string, granted int) (got, refused []Token, out []Outgoing) {
	got, refused, message, more := b.holder(owner).HandleAnswer(server, granted)
	out = outgoing(owner, message, more)
	entry := b.entry(server)
	entry.count += len(got)
	if entry.owner == owner {
		return got, refused, out
	}
	for range got {
		out = append(out, b.release(server, owner)...)
		out = append(out, b.take(server, entry.owner)...)
	}
	return got, refused, out
}

// OwnerLost gives up the open questions to an owner whose stream has ended.
func (b *Tracker) OwnerLost(owner string) []Token { return b.holder(owner).Cancel() }

// Held returns what a new stream to an owner starts with.
func (b *Tracker) Held(owner string) []Message { return b.holder(owner).Held() }

// remote reports whether an owner is another router.
func (b *Tracker) remote(owner string) bool { return owner != "" && owner != b.self }

func (b *Tracker) take(server, owner string) []Outgoing {
	if !b.remote(owner) {
		return nil
	}
	message, ok := b.holder(owner).AddUngranted(server)
	return outgoing(owner, message, ok)
}

func (b *Tracker) release(server, owner string) []Outgoing {
	if !b.remote(owner) {
		return nil
	}
	message, ok := b.holder(owner).Release(server)
	return outgoing(owner, message, ok)
}

func (b *Tracker) entry(server string) *booked {
	entry := b.servers[server]
	if entry == nil {
		entry = &booked{}
		b.servers[server] = entry
	}
	return entry
}

func (b *Tracker) holder(owner string) *Holder {
	holder := b.holders[owner]
	if holder == nil {
		holder = NewHolder()
		b.holders[owner] = holder
	}
	return holder
}

func outgoing(owner string, message Message, ok bool) []Outgoing {
	if !ok {
		return nil
	}
	return []Outgoing{{Owner: owner, Message: message}}
}
