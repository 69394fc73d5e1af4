package reservation

// Outgoing is a message to the owner of a server.
type Outgoing struct {
	Owner string
	Message
}

// Tracker tracks all reservations of one router, across the owners of the
// servers, and moves them when a server's owner changes. It is not safe for
// concurrent use.
type Tracker struct {
	self    string
	servers map[string]*trackedServer
	holders map[string]*Holder
}

// trackedServer is the owner of one server and the number of reservations that
// the router holds on it.
type trackedServer struct {
	owner string
	held  int
}

// NewTracker returns a tracker without reservations for the router named self.
func NewTracker(self string) *Tracker {
	return &Tracker{self: self, servers: make(map[string]*trackedServer), holders: make(map[string]*Holder)}
}

// Owner returns the owner that a server was last assigned to, or "".
func (t *Tracker) Owner(server string) string {
	if entry := t.servers[server]; entry != nil {
		return entry.owner
	}
	return ""
}

// Len returns the number of tracked servers.
func (t *Tracker) Len() int { return len(t.servers) }

// Assign sets the owner of a server and moves the reservations on the server
// from the previous owner to the new one.
func (t *Tracker) Assign(server, owner string) []Outgoing {
	entry := t.entry(server)
	if entry.owner == owner {
		return nil
	}
	previous := entry.owner
	entry.owner = owner
	var out []Outgoing
	for range entry.held {
		out = append(out, t.release(server, previous)...)
		out = append(out, t.addUngranted(server, owner)...)
	}
	return out
}

// Forget drops the servers that have no reservations and for which keep returns
// false.
func (t *Tracker) Forget(keep func(server string) bool) {
	for server, entry := range t.servers {
		if entry.held == 0 && !keep(server) {
			delete(t.servers, server)
		}
	}
}

// Request requests a reservation from the owner of a server. See Holder.Request
// for ignoreLoadBound.
func (t *Tracker) Request(server string, token Token, ignoreLoadBound bool) []Outgoing {
	owner := t.entry(server).owner
	message, ok := t.holder(owner).Request(server, token, ignoreLoadBound)
	return outgoing(owner, message, ok)
}

// AddUngranted adds a reservation that no owner has granted.
func (t *Tracker) AddUngranted(server string) []Outgoing {
	entry := t.entry(server)
	entry.held++
	return t.addUngranted(server, entry.owner)
}

// Release releases one reservation on a server. It does nothing if none is held.
func (t *Tracker) Release(server string) []Outgoing {
	entry := t.entry(server)
	if entry.held == 0 {
		return nil
	}
	entry.held--
	return t.release(server, entry.owner)
}

// HandleAnswer applies an owner's answer, which grants count reservations. It
// returns the tokens of the granted and of the refused requests. Reservations
// granted by a router that is no longer the owner move to the current owner.
func (t *Tracker) HandleAnswer(owner, server string, count int) (granted, refused []Token, out []Outgoing) {
	granted, refused, message, more := t.holder(owner).HandleAnswer(server, count)
	out = outgoing(owner, message, more)
	entry := t.entry(server)
	entry.held += len(granted)
	if entry.owner == owner {
		return granted, refused, out
	}
	for range granted {
		out = append(out, t.release(server, owner)...)
		out = append(out, t.addUngranted(server, entry.owner)...)
	}
	return granted, refused, out
}

// OwnerLost cancels all pending requests to an owner whose stream has ended, and
// returns their tokens.
func (t *Tracker) OwnerLost(owner string) []Token { return t.holder(owner).Cancel() }

// Held returns the messages to send first on a new stream to an owner.
func (t *Tracker) Held(owner string) []Message { return t.holder(owner).Held() }

// remote reports whether an owner is another router.
func (t *Tracker) remote(owner string) bool { return owner != "" && owner != t.self }

func (t *Tracker) addUngranted(server, owner string) []Outgoing {
	if !t.remote(owner) {
		return nil
	}
	message, ok := t.holder(owner).AddUngranted(server)
	return outgoing(owner, message, ok)
}

func (t *Tracker) release(server, owner string) []Outgoing {
	if !t.remote(owner) {
		return nil
	}
	message, ok := t.holder(owner).Release(server)
	return outgoing(owner, message, ok)
}

func (t *Tracker) entry(server string) *trackedServer {
	entry := t.servers[server]
	if entry == nil {
		entry = &trackedServer{}
		t.servers[server] = entry
	}
	return entry
}

func (t *Tracker) holder(owner string) *Holder {
	holder := t.holders[owner]
	if holder == nil {
		holder = NewHolder()
		t.holders[owner] = holder
	}
	return holder
}

func outgoing(owner string, message Message, ok bool) []Outgoing {
	if !ok {
		return nil
	}
	return []Outgoing{{Owner: owner, Message: message}}
}
