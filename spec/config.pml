/* The replicated configuration log (Raft): leader election, log replication,
 * commitment and linearizable reads of three replicas that crash and restart
 * from their durable state.
 *
 * A message is modelled as a step that reads the sender's state while the sender
 * still has the role in which it sent the message. A deposed leader keeps its
 * role until it sees a later term. Messages can therefore be lost, duplicated,
 * delayed and reordered.
 *
 * Each of these preprocessor names removes one rule; Spin must then find a
 * violation:
 *   COMMIT_OLD_TERM     a leader commits an entry of an older term by counting
 *                       replicas
 *   VOTE_NOT_SYNCED     a crash loses the vote
 *   APPEND_NOT_SYNCED   a crash loses the last acknowledged entry
 *   NO_LOG_COMPARISON   a voter does not compare the candidate's log with its own
 *   SAME_ID_AFTER_LOSS  a replica that lost its disk rejoins under its old ID
 *   READ_UNCONFIRMED    a leader serves reads without confirmation by a majority
 *   READ_UNSETTLED      a leader serves reads before it has committed an entry of
 *                       its term
 */
#ifndef TERMS
#define TERMS 3
#endif
#ifndef ENTRIES
#define ENTRIES 2
#endif
#ifndef CRASHES
#define CRASHES 2
#endif
#define REPLICAS 3
#define NONE 3
#define AT(r, i) ((r) * ENTRIES + (i) - 1)

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

byte term[REPLICAS];
byte vote[REPLICAS];
byte role[REPLICAS];
byte votes[REPLICAS];             /* of a candidate: bit per replica that voted for it */
byte length[REPLICAS];
byte entry[REPLICAS * ENTRIES];   /* the term of each entry */
byte match[REPLICAS * REPLICAS];  /* of a leader: match index of each replica */
byte commit[REPLICAS];
byte crashes;

/* History for the assertions; no replica reads it. */
byte leader_of[TERMS + 1];
byte committed[ENTRIES + 1];          /* the term of each committed entry */
byte committed_in_term[ENTRIES + 1];  /* the term in which it was committed */
byte highest_committed;

/* The read in progress: the leader that serves it, the commit index that it
 * read, the lowest index that a linearizable read may return, and a bit per
 * replica that confirmed the leader. */
byte reader = NONE;
byte read_index, read_min_index, read_acks;

#define BIT(r) (1 << (r))
#define IS_MAJORITY(set) ((set) == 3 || (set) >= 5)
#define LAST_TERM(r) (length[r] == 0 -> 0 : entry[AT(r, length[r])])

#ifdef NO_LOG_COMPARISON
#define UP_TO_DATE(c, v) true
#else
#define UP_TO_DATE(c, v) (LAST_TERM(c) > LAST_TERM(v) || (LAST_TERM(c) == LAST_TERM(v) && length[c] >= length[v]))
#endif

inline adopt_term(r, t) {
	if
	:: term[r] < t -> term[r] = t; vote[r] = NONE; step_down(r)
	:: else
	fi
}

inline step_down(r) {
	role[r] = FOLLOWER;
	votes[r] = 0;
	match[r * REPLICAS] = 0;
	match[r * REPLICAS + 1] = 0;
	match[r * REPLICAS + 2] = 0;
	if
	:: reader == r -> reader = NONE; read_index = 0; read_min_index = 0; read_acks = 0
	:: else
	fi
}

inline truncate(r, n) {
	do
	:: length[r] > n -> entry[AT(r, length[r])] = 0; length[r]--
	:: else -> break
	od
}

inline campaign(r) {
	d_step {
		step_down(r);
		term[r]++;
		vote[r] = r;
		role[r] = CANDIDATE;
		votes[r] = BIT(r)
	}
}

inline request_vote(c, v) {
	d_step {
		adopt_term(v, term[c]);
		if
		:: term[v] == term[c] && (vote[v] == NONE || vote[v] == c) && UP_TO_DATE(c, v) -> vote[v] = c; votes[c] = votes[c] | BIT(v)
		:: else
		fi
	}
}

inline become_leader(c) {
	d_step {
		assert(leader_of[term[c]] == NONE || leader_of[term[c]] == c);
		leader_of[term[c]] = c;
		role[c] = LEADER;
		votes[c] = 0;
		match[c * REPLICAS + c] = length[c];
		/* Leader completeness: the leader has all entries committed in earlier terms. */
		i = 1;
		do
		:: i <= highest_committed ->
			assert(committed_in_term[i] >= term[c] || (length[c] >= i && entry[AT(c, i)] == committed[i]));
			i++
		:: else -> break
		od;
		i = 0
	}
}

inline propose(l) {
	d_step {
		length[l]++;
		entry[AT(l, length[l])] = term[l];
		match[l * REPLICAS + l] = length[l]
	}
}

/* The leader sends entry n; the follower checks the previous entry. */
inline replicate(l, f, n) {
	d_step {
		adopt_term(f, term[l]);
		if
		:: term[f] == term[l] && length[f] >= n - 1 && (n == 1 || entry[AT(f, n - 1)] == entry[AT(l, n - 1)]) ->
			if
			:: role[f] == CANDIDATE -> step_down(f)
			:: else
			fi;
			if
			:: length[f] >= n && entry[AT(f, n)] != entry[AT(l, n)] ->
				assert(commit[f] < n);
				truncate(f, n - 1)
			:: else
			fi;
			if
			:: length[f] < n -> length[f] = n; entry[AT(f, n)] = entry[AT(l, n)]
			:: else
			fi;
			if
			:: match[l * REPLICAS + f] < n -> match[l * REPLICAS + f] = n
			:: else
			fi;
			/* The AppendEntries message carries the leader's commit index. */
			if
			:: commit[f] < n && commit[l] >= n -> commit[f] = n
			:: else
			fi
		:: else
		fi
	}
}

#define HOLDERS(l, n) ((match[(l) * REPLICAS] >= n -> 1 : 0) + (match[(l) * REPLICAS + 1] >= n -> 2 : 0) + (match[(l) * REPLICAS + 2] >= n -> 4 : 0))

inline commit_up_to(l, n) {
	d_step {
		commit[l] = n;
		i = 1;
		do
		:: i <= n ->
			/* State-machine safety: no index is committed with two different entries. */
			assert(committed[i] == 0 || committed[i] == entry[AT(l, i)]);
			if
			:: committed[i] == 0 -> committed[i] = entry[AT(l, i)]; committed_in_term[i] = term[l]
			:: else
			fi;
			i++
		:: else -> break
		od;
		i = 0;
		if
		:: n > highest_committed -> highest_committed = n
		:: else
		fi
	}
}

inline lose_last_entry(r) {
	if
	:: length[r] > 0 -> entry[AT(r, length[r])] = 0; length[r]--
	:: else
	fi
}

#ifdef VOTE_NOT_SYNCED
#define LOSE_STATE(r) vote[r] = NONE
#endif
#ifdef APPEND_NOT_SYNCED
#define LOSE_STATE(r) lose_last_entry(r)
#endif
#ifdef SAME_ID_AFTER_LOSS
#define LOSE_STATE(r) term[r] = 0; vote[r] = NONE; truncate(r, 0)
#endif
#ifndef LOSE_STATE
#define LOSE_STATE(r) skip
#endif

inline crash(r) {
	d_step {
		crashes++;
		step_down(r);
		commit[r] = 0;
		LOSE_STATE(r);
		skip
	}
}

inline start_read(l) {
	d_step {
		reader = l;
		read_index = commit[l];
		read_min_index = highest_committed;
		read_acks = BIT(l)
	}
}

inline confirm_read(l, f) {
	d_step {
		adopt_term(f, term[l]);
		if
		:: term[f] == term[l] -> read_acks = read_acks | BIT(f)
		:: else
		fi
	}
}

inline finish_read() {
	d_step {
		assert(read_index >= read_min_index);
		reader = NONE;
		read_index = 0;
		read_min_index = 0;
		read_acks = 0
	}
}

#ifdef READ_UNSETTLED
#define COMMITTED_IN_TERM(l) true
#else
#define COMMITTED_IN_TERM(l) (commit[l] > 0 && entry[AT(l, commit[l])] == term[l])
#endif

#ifdef READ_UNCONFIRMED
#define CONFIRMED true
#else
#define CONFIRMED IS_MAJORITY(read_acks)
#endif

#ifdef COMMIT_OLD_TERM
#define MAY_COMMIT(l, n) true
#else
#define MAY_COMMIT(l, n) (entry[AT(l, n)] == term[l])
#endif

#define STEPS(r, x, y) \
	:: role[r] != LEADER && term[r] < TERMS -> campaign(r) \
	:: role[r] == CANDIDATE && IS_MAJORITY(votes[r]) -> become_leader(r) \
	:: role[r] == CANDIDATE && !(votes[r] & BIT(x)) && term[x] <= term[r] -> request_vote(r, x) \
	:: role[r] == CANDIDATE && !(votes[r] & BIT(y)) && term[y] <= term[r] -> request_vote(r, y) \
	:: role[r] == LEADER && length[r] < ENTRIES -> propose(r) \
	:: role[r] == LEADER && length[r] >= 1 && term[x] <= term[r] -> replicate(r, x, 1) \
	:: role[r] == LEADER && length[r] >= 1 && term[y] <= term[r] -> replicate(r, y, 1) \
	:: role[r] == LEADER && length[r] >= ENTRIES && term[x] <= term[r] -> replicate(r, x, ENTRIES) \
	:: role[r] == LEADER && length[r] >= ENTRIES && term[y] <= term[r] -> replicate(r, y, ENTRIES) \
	:: role[r] == LEADER && length[r] >= 1 && commit[r] < 1 && IS_MAJORITY(HOLDERS(r, 1)) && MAY_COMMIT(r, 1) -> commit_up_to(r, 1) \
	:: role[r] == LEADER && length[r] >= ENTRIES && commit[r] < ENTRIES && IS_MAJORITY(HOLDERS(r, ENTRIES)) && MAY_COMMIT(r, ENTRIES) -> commit_up_to(r, ENTRIES) \
	:: crashes < CRASHES -> crash(r)

#ifdef READS
#define READ_STEPS(r, x, y) \
	:: role[r] == LEADER && reader == NONE && highest_committed > 0 && COMMITTED_IN_TERM(r) -> start_read(r) \
	:: reader == r && !(read_acks & BIT(x)) && term[x] <= term[r] -> confirm_read(r, x) \
	:: reader == r && !(read_acks & BIT(y)) && term[y] <= term[r] -> confirm_read(r, y)
#else
#define READ_STEPS(r, x, y)
#endif

init {
	byte i;
	d_step {
		vote[0] = NONE; vote[1] = NONE; vote[2] = NONE;
		i = 0;
		do
		:: i <= TERMS -> leader_of[i] = NONE; i++
		:: else -> break
		od;
		i = 0
	}
end:
	do
	STEPS(0, 1, 2)
	STEPS(1, 0, 2)
	STEPS(2, 0, 1)
#ifdef READS
	READ_STEPS(0, 1, 2)
	READ_STEPS(1, 0, 2)
	READ_STEPS(2, 0, 1)
	:: reader != NONE && CONFIRMED -> finish_read()
#endif
	od
}
