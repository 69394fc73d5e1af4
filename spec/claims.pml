/*
 * Claims of one key at a group of three replicas, by two attempts.
 *
 * A message once sent may arrive at any later time and any number of times, so
 * claims, releases and completions are not stored: each may be delivered
 * whenever its sender has sent it. A grant that a replica gave is a bit in
 * grants[attempt].at[epoch]; when the attempt learns of it does not matter,
 * because it may dispatch at any time after it has a majority.
 *
 * Epochs count from 0. Each loss of a disk and each restart raises it once.
 *
 * Rules that can be removed, each by a preprocessor name:
 *   NO_RAISE       a recovery leaves the epoch as it is
 *   RAISE_ONE      a recovery counts itself: one other replica raises and copies
 *   ONE_COPY       a recovery copies from one replica
 *   FIRST_COPY     the first copy with a holder wins instead of the union
 *   LATE_DISPATCH  an attempt may dispatch after its release
 *   ANY_EPOCH      grants of different epochs count together
 *   NO_TOMBSTONE   a release leaves no tombstone
 *   ANY_RELEASE    acknowledgements of a release in different epochs count together
 * CHECK_FREE asserts that a key which a majority has released in one epoch stays
 * free of that attempt at a majority. NEVER_AGAIN asserts that no attempt runs
 * after another one has released; it is false, or the model would do nothing.
 * LOSSES disks are lost, one at a time; RESTARTS recoveries start over.
 */

#ifndef LOSSES
#define LOSSES 1
#endif
#ifndef RESTARTS
#define RESTARTS 0
#endif

#define REPLICAS 3
#define ATTEMPTS 2
#define EPOCHS   (LOSSES + RESTARTS + 1)

#define BIT(i)      (1 << (i))
#define MAJORITY(m) ((m) == 3 || (m) == 5 || (m) == 6 || (m) == 7)

typedef Replica {
	bit live;
	byte epoch;
	byte holders;   /* bit per attempt */
	byte released;  /* bit per attempt: its tombstone */
}

typedef Grants {
	byte at[EPOCHS]; /* bit per replica */
}

Replica replica[REPLICAS];
Grants grants[ATTEMPTS];

/* An attempt with a majority of grants of one epoch; one that has dispatched;
 * one that has begun its release: a bit per attempt each. */
byte mayDispatch;
byte dispatched;
byte releasing;

#ifdef CHECK_FREE
/* Acknowledgements of the release of attempt 0, and whether they are a majority. */
Grants taken;
bit freed;
#endif

byte losses;
byte restarts;

/* The recovery in progress: at most one disk is lost at a time. */
bit recovering;
byte lost;          /* the replica that recovers */
byte newEpoch;
byte raised;        /* bit per replica */
byte copied;        /* bit per replica */
byte copyHolders;
byte copyReleased;

/* Forgets what can no longer make a difference, so that equal states fold. */
inline fold(a) {
	if
	:: (dispatched | releasing) & BIT(a) ->
		for (e : 0 .. EPOCHS - 1) { grants[a].at[e] = 0 }
	:: mayDispatch & BIT(a) ->
		for (e : 0 .. EPOCHS - 1) { grants[a].at[e] = 0 }
	:: else
	fi
}

inline count(a) {
#ifdef ANY_EPOCH
	seen = 0;
	for (e : 0 .. EPOCHS - 1) { seen = seen | grants[a].at[e] }
	if
	:: MAJORITY(seen) -> mayDispatch = mayDispatch | BIT(a)
	:: else
	fi;
	seen = 0;
#else
	for (e : 0 .. EPOCHS - 1) {
		if
		:: MAJORITY(grants[a].at[e]) -> mayDispatch = mayDispatch | BIT(a)
		:: else
		fi
	}
#endif
	fold(a);
	e = 0
}

/* A claim of attempt a arrives at replica r and is granted. */
#define CAN_GRANT(a, r) \
	(replica[r].live && !(replica[r].released & BIT(a)) && \
	 (replica[r].holders == 0 || replica[r].holders == BIT(a)))

#define CHANGES_BY_GRANT(a, r) \
	(replica[r].holders == 0 || \
	 (!((dispatched | releasing | mayDispatch) & BIT(a)) && \
	  !(grants[a].at[replica[r].epoch] & BIT(r))))

#define CLAIM(a, r) \
	:: d_step { CAN_GRANT(a, r) && CHANGES_BY_GRANT(a, r) -> \
		replica[r].holders = BIT(a); \
		grants[a].at[replica[r].epoch] = grants[a].at[replica[r].epoch] | BIT(r); \
		count(a); checkFree() }

#ifdef NO_TOMBSTONE
#define TAKE_RELEASE(a, r)
#define CAN_RELEASE(a, r) (replica[r].holders & BIT(a))
#else
#define TAKE_RELEASE(a, r) replica[r].released = replica[r].released | BIT(a);
#define CAN_RELEASE(a, r) (!(replica[r].released & BIT(a)))
#endif

/* The release of attempt a arrives at replica r, which acknowledges it. */
#ifdef CHECK_FREE
#define NOT_NOTED(a, r) (a == 0 && !freed && !(taken.at[replica[r].epoch] & BIT(r)))
#define NOTE_TAKEN(a, r) noteTaken(a, r);
#else
#define NOT_NOTED(a, r) false
#define NOTE_TAKEN(a, r)
#endif

inline noteTaken(a, r) {
	if
	:: a == 0 && !freed ->
		taken.at[replica[r].epoch] = taken.at[replica[r].epoch] | BIT(r);
		seen = 0;
		for (e : 0 .. EPOCHS - 1) {
#ifdef ANY_RELEASE
			seen = seen | taken.at[e];
#else
			seen = taken.at[e];
#endif
			if
			:: MAJORITY(seen) -> freed = 1
			:: else
			fi
		}
		if
		:: freed -> for (e : 0 .. EPOCHS - 1) { taken.at[e] = 0 }
		:: else
		fi;
		seen = 0;
		e = 0
	:: else
	fi
}

#define RELEASE(a, r) \
	:: d_step { (releasing & BIT(a)) && replica[r].live && (CAN_RELEASE(a, r) || NOT_NOTED(a, r)) -> \
		replica[r].holders = replica[r].holders & ~BIT(a); \
		TAKE_RELEASE(a, r) \
		NOTE_TAKEN(a, r) \
		checkFree() }

/* The completion of attempt a arrives at replica r. */
#define COMPLETE(a, r) \
	:: d_step { (dispatched & BIT(a)) && replica[r].live && replica[r].holders != BIT(a) -> \
		replica[r].holders = BIT(a) }

/* A claimer tells replica r of the epoch that it has seen at replica s. */
#define ADOPT(r, s) \
	:: d_step { replica[r].live && replica[s].live && replica[s].epoch > replica[r].epoch -> \
		replica[r].epoch = replica[s].epoch; retire() }

/* Grants of an epoch that no replica can grant in any more are worth nothing
 * unless they are a majority already. */
inline retire() {
	skip;
#ifndef ANY_EPOCH
	for (e : 0 .. EPOCHS - 1) {
		if
		:: (!replica[0].live || replica[0].epoch > e) &&
		   (!replica[1].live || replica[1].epoch > e) &&
		   (!replica[2].live || replica[2].epoch > e) &&
		   !(recovering && newEpoch == e) ->
			grants[0].at[e] = 0;
			grants[1].at[e] = 0
		:: else
		fi
	}
	e = 0;
#endif
	skip
}

/* An attempt that has a majority may answer not_run after its release, so no
 * other one may have run by then. */
#ifdef LATE_DISPATCH
#define END_DISPATCH(a)
#define MAY_RELEASE(a) (!((dispatched | releasing) & BIT(a)))
#else
#define END_DISPATCH(a) mayDispatch = mayDispatch & ~BIT(a);
#define MAY_RELEASE(a) (!((dispatched | releasing) & BIT(a)))
#endif

#define BEGIN_RELEASE(a) \
	:: d_step { MAY_RELEASE(a) -> \
		assert(!(mayDispatch & BIT(a)) || dispatched == 0); \
		releasing = releasing | BIT(a); \
		END_DISPATCH(a) \
		fold(a); e = 0 }

#ifdef NEVER_AGAIN
#define MAY_RUN_AGAIN false
#else
#define MAY_RUN_AGAIN true
#endif

#define DISPATCH(a) \
	:: d_step { (mayDispatch & BIT(a)) && !(dispatched & BIT(a)) -> \
		assert(dispatched == 0); \
		assert(MAY_RUN_AGAIN || releasing == 0); \
		dispatched = dispatched | BIT(a); \
		mayDispatch = mayDispatch & ~BIT(a); \
		fold(a); e = 0 }

#define HOLDS(r) (replica[r].holders & BIT(0) -> 1 : 0)

inline checkFree() {
#ifdef CHECK_FREE
	assert(!freed || HOLDS(0) + HOLDS(1) + HOLDS(2) < 2);
#endif
	skip
}

/* Replicas are alike, so the first one to lose its disk is replica 0. */
#define LOSE(r) \
	:: d_step { losses < LOSSES && !recovering && replica[r].live && (losses > 0 || r == 0) -> \
		losses++; \
		replica[r].live = 0; \
		replica[r].epoch = 0; \
		replica[r].holders = 0; \
		replica[r].released = 0; \
		recovering = 1; \
		lost = r; \
		newEpoch = NEXT_EPOCH(r) }

#define MAX(x, y)       ((x) > (y) -> (x) : (y))
#define HIGHEST_OTHER(r) MAX(replica[((r) + 1) % 3].epoch, replica[((r) + 2) % 3].epoch)
#ifdef NO_RAISE
#define NEXT_EPOCH(r) HIGHEST_OTHER(r)
#else
#define NEXT_EPOCH(r) (HIGHEST_OTHER(r) + 1)
#endif

/* The recovering replica crashes and starts over. */
#define RESTART \
	:: d_step { restarts < RESTARTS && recovering -> \
		restarts++; \
		newEpoch = NEXT_EPOCH(lost); \
		raised = 0; copied = 0; copyHolders = 0; copyReleased = 0 }

/* The recovery raises the epoch at replica s. */
#ifdef NO_RAISE
#define RAISE_TO(s) skip
#else
#define RAISE_TO(s) replica[s].epoch = newEpoch
#endif

#define RAISE(s) \
	:: d_step { recovering && s != lost && !(raised & BIT(s)) -> \
		RAISE_TO(s); \
		raised = raised | BIT(s); \
		retire() }

#ifdef FIRST_COPY
#define MERGE(s) if :: copyHolders == 0 -> copyHolders = replica[s].holders :: else fi
#else
#define MERGE(s) copyHolders = copyHolders | replica[s].holders
#endif

/* The recovery copies what replica s holds. */
#define COPY(s) \
	:: d_step { recovering && (raised & BIT(s)) && !(copied & BIT(s)) -> \
		MERGE(s); \
		copyReleased = copyReleased | replica[s].released; \
		copied = copied | BIT(s) }

#if defined(RAISE_ONE)
#define ENOUGH (copied != 0)
#elif defined(ONE_COPY)
#define ENOUGH (copied != 0 && MAJORITY(raised))
#else
#define ENOUGH MAJORITY(copied)
#endif

#define FINISH \
	:: d_step { recovering && ENOUGH -> \
		replica[lost].live = 1; \
		replica[lost].epoch = newEpoch; \
		replica[lost].holders = copyHolders & ~copyReleased; \
		replica[lost].released = copyReleased; \
		recovering = 0; lost = 0; newEpoch = 0; raised = 0; copied = 0; \
		copyHolders = 0; copyReleased = 0; \
		retire(); \
		checkFree() }

init {
	byte e;
	byte seen;
	d_step {
		replica[0].live = 1;
		replica[1].live = 1;
		replica[2].live = 1
	}
end:
	do
	CLAIM(0, 0) CLAIM(0, 1) CLAIM(0, 2)
	CLAIM(1, 0) CLAIM(1, 1) CLAIM(1, 2)
	RELEASE(0, 0) RELEASE(0, 1) RELEASE(0, 2)
	RELEASE(1, 0) RELEASE(1, 1) RELEASE(1, 2)
	COMPLETE(0, 0) COMPLETE(0, 1) COMPLETE(0, 2)
	COMPLETE(1, 0) COMPLETE(1, 1) COMPLETE(1, 2)
	BEGIN_RELEASE(0) BEGIN_RELEASE(1)
	DISPATCH(0) DISPATCH(1)
	LOSE(0) LOSE(1) LOSE(2)
	RAISE(0) RAISE(1) RAISE(2)
	COPY(0) COPY(1) COPY(2)
	ADOPT(0, 1) ADOPT(0, 2) ADOPT(1, 0) ADOPT(1, 2) ADOPT(2, 0) ADOPT(2, 1)
	RESTART
	FINISH
	od
}
