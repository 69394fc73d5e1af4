/*
 * A change of one member of a group of three replicas while two attempts claim
 * one key. The group's list is 0 with the replicas 0, 1, 2. Two operators each
 * want another list: operator 0 list 1 with 0, 1, 3, operator 1 list 2 with
 * 0, 2, 3. Replica 3 is empty at first.
 *
 * A change is a ballot with a number that is an epoch: a majority of the old
 * members promises it by raising its epoch, then a majority accepts the list and
 * grants nothing from then on. Its list is chosen then. Old members follow a
 * chosen list and keep what they hold; the new one copies the union from a
 * majority of its list, which raises the epoch first.
 *
 * An attempt counts grants of one list and one epoch. It wins once they are a
 * majority, and it may dispatch at any time afterwards, so two attempts that
 * won are a violation. Delays and repetitions of messages need no queue: a grant
 * is a bit "this replica once granted under this list in this epoch".
 *
 * Rules that can be removed, each by a preprocessor name:
 *   NO_VIEW        replicas do not compare lists: grants count by epoch alone
 *   NO_SEAL        a replica that has accepted a list goes on granting
 *   EARLY          the new replica takes part before it has copied
 *   ONE_COPY       the new replica copies from one member
 *   ONE_ACCEPTS    a list is chosen when one member has accepted it
 *   NO_PROMISE     operators ask for no promise
 *   IGNORE_PENDING an operator proposes its own list over a pending one
 *   NO_RAISE       neither ballots nor copies raise the epoch
 *   OLD_LIST       a lost disk recovers into the old list from a member that has
 *                  accepted a new one
 * OPERATORS run ballots, STARTS each. LOSSES disks are lost, one at a time.
 * NEVER_CHANGED asserts that no replica follows another list and NEVER_DONE that
 * the new one never takes part; both are false, or the model would do nothing.
 */

#ifndef LOSSES
#define LOSSES 0
#endif
#ifndef OPERATORS
#define OPERATORS 1
#endif
#ifndef STARTS
#define STARTS 1
#endif
#ifndef RECOVERIES
#define RECOVERIES (1 + LOSSES)
#endif

#define REPLICAS 4
#define EPOCHS   (1 + OPERATORS * STARTS + RECOVERIES)
#define NEWCOMER 3

#define BIT(i)       (1 << (i))
#define MEMBERS(l)   ((l) == 0 -> 7 : ((l) == 1 -> 11 : 13))
#define COUNT(m)     (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1))
#define MAJORITY(l, m) (COUNT((m) & MEMBERS(l)) >= 2)
#define IN(r, l)     (MEMBERS(l) & BIT(r))

typedef Replica {
	bit live;
	byte list;
	byte epoch;
	byte pending;  /* ballot of the accepted list, 0 for none */
	byte holders;  /* bit per attempt */
}

typedef Grants {
	byte at[3 * EPOCHS]; /* by list and epoch: bit per replica */
}

Replica replica[REPLICAS];
Grants grants[2];
byte won;            /* bit per attempt */
bit claimed;         /* attempt 0 has claimed: the attempts are alike */

byte epochs;         /* the highest epoch that was given out */
byte proposed[EPOCHS]; /* list of a ballot */
byte accepted[EPOCHS]; /* bit per replica that has accepted a ballot */

typedef Operator {
	byte phase;    /* 0 idle, 1 asks for promises, 2 asks to accept */
	byte ballot;
	byte promised; /* bit per replica */
	byte seen;     /* highest pending ballot of those that promised */
	byte starts;
}
Operator op[2];

byte losses;
byte recoveries;

/* The recovery in progress, of the newcomer or after a lost disk. */
bit recovering;
byte rec;
byte recList;
byte recEpoch;
byte raised;
byte copied;
byte copyHolders;

#ifdef NO_VIEW
#define CELL(l, e) (e)
#else
#define CELL(l, e) (3 * (e) + (l))
#endif

#ifdef ONE_ACCEPTS
#define CHOSEN(b) (accepted[b] & 7)
#else
#define CHOSEN(b) MAJORITY(0, accepted[b])
#endif

/* Replica r can still grant under list l in epoch e. */
#define CAN(r, l, e) (IN(r, l) && \
	((replica[r].live && replica[r].epoch <= e && \
	  (replica[r].list == l || replica[r].list == 0) && !(l == 0 && replica[r].pending != 0)) || \
	 (recovering && rec == r && recEpoch <= e)) -> BIT(r) : 0)

/* Grants that can no longer become a majority are worth nothing. */
inline retire() {
	skip;
#if !defined(NO_VIEW) && !defined(NO_SEAL) && !defined(NO_RAISE)
	for (e : 0 .. EPOCHS - 1) {
		for (l : 0 .. 2) {
			still = CAN(0, l, e) | CAN(1, l, e) | CAN(2, l, e) | CAN(3, l, e);
			if
			:: !MAJORITY(l, grants[0].at[CELL(l, e)] | still) -> grants[0].at[CELL(l, e)] = 0
			:: else
			fi;
			if
			:: !MAJORITY(l, grants[1].at[CELL(l, e)] | still) -> grants[1].at[CELL(l, e)] = 0
			:: else
			fi
		}
	}
	still = 0;
	e = 0;
	l = 0;
#endif
	skip
}

inline count(a) {
	for (e : 0 .. EPOCHS - 1) {
		for (l : 0 .. 2) {
			if
			:: MAJORITY(l, grants[a].at[CELL(l, e)]) -> won = won | BIT(a)
			:: else
			fi
		}
	}
	if
	:: won & BIT(a) ->
		for (e : 0 .. 3 * EPOCHS - 1) { grants[a].at[e] = 0 }
	:: else
	fi;
	e = 0;
	l = 0;
	assert(won != 3)
}

#ifdef NO_SEAL
#define GRANTS(r) (replica[r].live)
#else
#define GRANTS(r) (replica[r].live && replica[r].pending == 0)
#endif

#define HERE(a, r) grants[a].at[CELL(replica[r].list, replica[r].epoch)]

#define CLAIM(a, r) \
	:: d_step { GRANTS(r) && IN(r, replica[r].list) && (a == 0 || claimed) && \
		(replica[r].holders == 0 || replica[r].holders == BIT(a)) && \
		(replica[r].holders == 0 || (!(won & BIT(a)) && !(HERE(a, r) & BIT(r)))) -> \
		replica[r].holders = BIT(a); \
		claimed = 1; \
		if \
		:: !(won & BIT(a)) -> HERE(a, r) = HERE(a, r) | BIT(r) \
		:: else \
		fi; \
		count(a); \
		retire() }

/* A claimer tells replica r of the epoch that it has seen at replica s. */
#define ADOPT(r, s) \
	:: d_step { GRANTS(r) && replica[s].live && replica[s].epoch > replica[r].epoch -> \
		replica[r].epoch = replica[s].epoch; \
		retire() }

#define MAX(x, y) ((x) > (y) -> (x) : (y))
#ifdef NO_RAISE
#define RAISE_TO(r, e) skip
#define MAY_RAISE(r, e) true
#else
#define RAISE_TO(r, e) replica[r].epoch = e
#define MAY_RAISE(r, e) (replica[r].epoch <= e)
#endif

#define START(k) \
	:: d_step { k < OPERATORS && op[k].starts < STARTS && epochs < EPOCHS - 1 -> \
		op[k].starts++; \
		epochs++; \
		op[k].ballot = epochs; \
		op[k].promised = 0; \
		op[k].seen = 0; \
		op[k].phase = 1 }

#define PROMISE(k, r) \
	:: d_step { op[k].phase == 1 && replica[r].live && replica[r].list == 0 && \
		!(op[k].promised & BIT(r)) && MAY_RAISE(r, op[k].ballot) -> \
		RAISE_TO(r, op[k].ballot); \
		op[k].promised = op[k].promised | BIT(r); \
		op[k].seen = MAX(op[k].seen, replica[r].pending); \
		retire() }

#if defined(NO_PROMISE)
#define MAY_PROPOSE(k) true
#elif defined(IGNORE_PENDING)
#define MAY_PROPOSE(k) MAJORITY(0, op[k].promised)
#else
#define MAY_PROPOSE(k) (MAJORITY(0, op[k].promised) && (op[k].seen == 0 || proposed[op[k].seen] == k + 1))
#endif

#define PROPOSE(k) \
	:: d_step { op[k].phase == 1 && MAY_PROPOSE(k) -> \
		op[k].phase = 2; \
		op[k].promised = 0; \
		op[k].seen = 0; \
		proposed[op[k].ballot] = k + 1 }

#define ACCEPT(k, r) \
	:: d_step { op[k].phase == 2 && replica[r].live && replica[r].list == 0 && \
		!(accepted[op[k].ballot] & BIT(r)) && MAY_RAISE(r, op[k].ballot) -> \
		RAISE_TO(r, op[k].ballot); \
		replica[r].pending = op[k].ballot; \
		accepted[op[k].ballot] = accepted[op[k].ballot] | BIT(r); \
		retire() }

#ifdef NEVER_CHANGED
#define CHECK_CHANGED assert(false);
#else
#define CHECK_CHANGED
#endif

/* An old member follows the list of a ballot that was chosen. */
#define FOLLOW(r, b) \
	:: d_step { b < EPOCHS && replica[r].live && replica[r].list == 0 && proposed[b] != 0 && \
		CHOSEN(b) && IN(r, proposed[b]) -> \
		CHECK_CHANGED \
		replica[r].list = proposed[b]; \
		replica[r].pending = 0; \
		if \
		:: MAY_RAISE(r, b) -> RAISE_TO(r, b) \
		:: else \
		fi; \
		retire() }

#define LOSE(r) \
	:: d_step { losses < LOSSES && !recovering && replica[r].live -> \
		losses++; \
		replica[r].live = 0; \
		replica[r].list = 0; \
		replica[r].epoch = 0; \
		replica[r].pending = 0; \
		replica[r].holders = 0; \
		retire() }

/* An empty replica begins to copy into a list that a ballot has chosen, or into
 * the first one if it was a member of that. */
#define MAY_RECOVER(r, b) \
	(b < EPOCHS && !replica[r].live && !recovering && recoveries < RECOVERIES && epochs < EPOCHS - 1 && \
	 ((b == 0 && r != NEWCOMER) || (b > 0 && proposed[b] != 0 && CHOSEN(b) && IN(r, proposed[b]))))

#define RECOVER(r, b) \
	:: d_step { MAY_RECOVER(r, b) -> \
		recoveries++; \
		epochs++; \
		recovering = 1; \
		rec = r; \
		recList = proposed[b]; \
		recEpoch = epochs }

/* Replica s grants to claims of no other list than the recovery's. */
#ifdef OLD_LIST
#define KEEPS(s) (replica[s].list == recList || proposed[replica[s].pending] == recList)
#else
#define KEEPS(s) ((replica[s].pending == 0 && replica[s].list == recList) || \
	(replica[s].pending != 0 && proposed[replica[s].pending] == recList))
#endif
#define IS_SOURCE(s) (recovering && s != rec && replica[s].live && IN(s, recList) && KEEPS(s))

#define RAISE(s) \
	:: d_step { IS_SOURCE(s) && !(raised & BIT(s)) && MAY_RAISE(s, recEpoch) -> \
		RAISE_TO(s, recEpoch); \
		raised = raised | BIT(s); \
		retire() }

#define COPY(s) \
	:: d_step { IS_SOURCE(s) && (raised & BIT(s)) && !(copied & BIT(s)) -> \
		copied = copied | BIT(s); \
		copyHolders = copyHolders | replica[s].holders }

#if defined(EARLY)
#define ENOUGH true
#elif defined(ONE_COPY)
#define ENOUGH (copied != 0)
#else
#define ENOUGH MAJORITY(recList, copied)
#endif

#ifdef NO_RAISE
#define FINAL_EPOCH 0
#else
#define FINAL_EPOCH recEpoch
#endif

#ifdef NEVER_DONE
#define CHECK_DONE assert(rec != NEWCOMER);
#else
#define CHECK_DONE
#endif

#define FINISH \
	:: d_step { recovering && ENOUGH -> \
		CHECK_DONE \
		replica[rec].live = 1; \
		replica[rec].list = recList; \
		replica[rec].epoch = FINAL_EPOCH; \
		replica[rec].pending = 0; \
		replica[rec].holders = copyHolders; \
		recovering = 0; rec = 0; recList = 0; recEpoch = 0; \
		raised = 0; copied = 0; copyHolders = 0; \
		retire() }

/* The recovery cannot go on and starts over. */
#define ABANDON \
	:: d_step { recovering && recoveries < RECOVERIES -> \
		recovering = 0; rec = 0; recList = 0; recEpoch = 0; \
		raised = 0; copied = 0; copyHolders = 0; \
		retire() }

#define BALLOTS(macro, i) macro(i, 1) macro(i, 2) macro(i, 3) macro(i, 4)

init {
	byte e;
	byte l;
	byte still;
	d_step {
		replica[0].live = 1;
		replica[1].live = 1;
		replica[2].live = 1
	}
end:
	do
	CLAIM(0, 0) CLAIM(0, 1) CLAIM(0, 2) CLAIM(0, 3)
	CLAIM(1, 0) CLAIM(1, 1) CLAIM(1, 2) CLAIM(1, 3)
	ADOPT(0, 1) ADOPT(0, 2) ADOPT(0, 3) ADOPT(1, 0) ADOPT(1, 2) ADOPT(1, 3)
	ADOPT(2, 0) ADOPT(2, 1) ADOPT(2, 3) ADOPT(3, 0) ADOPT(3, 1) ADOPT(3, 2)
	START(0) START(1) PROPOSE(0) PROPOSE(1)
	PROMISE(0, 0) PROMISE(0, 1) PROMISE(0, 2) PROMISE(1, 0) PROMISE(1, 1) PROMISE(1, 2)
	ACCEPT(0, 0) ACCEPT(0, 1) ACCEPT(0, 2) ACCEPT(1, 0) ACCEPT(1, 1) ACCEPT(1, 2)
	BALLOTS(FOLLOW, 0) BALLOTS(FOLLOW, 1) BALLOTS(FOLLOW, 2)
	LOSE(0) LOSE(1) LOSE(2) LOSE(3)
	RECOVER(0, 0) RECOVER(1, 0) RECOVER(2, 0)
	BALLOTS(RECOVER, 0) BALLOTS(RECOVER, 1) BALLOTS(RECOVER, 2) BALLOTS(RECOVER, 3)
	RAISE(0) RAISE(1) RAISE(2) RAISE(3)
	COPY(0) COPY(1) COPY(2) COPY(3)
	ABANDON
	FINISH
	od
}
