/* Repeated orders on one failure domain. Operators order an evacuation or its
 * withdrawal by calls without a version. An operator abandons a call that is not
 * answered in time and sends it again to another replica, or gives up its order.
 * A replica may stall between any two of its steps, and a proposal may be committed
 * at any later time.
 *
 * The property: once an order is acknowledged, no call that was abandoned before
 * that order was given is applied.
 *
 * Each of these preprocessor names removes one rule; Spin must then find a
 * violation:
 *   NO_CHECK       a replica does not check whether the caller still waits
 *   CHECK_FIRST    it checks before it reads the state rather than after
 *   CHECK_ONCE     it does not check again when it starts over
 *   NO_BASE        a proposal is applied whatever was applied since the read
 *   SKIP_REPEATED  an order that is in force is acknowledged without a proposal
 *   NEVER_REFUSED  nothing is removed: Spin must find a proposal that is refused
 *                  because another order was applied first, and starts over
 */
#ifndef CALLS
#define CALLS 3
#endif
#define OPERATORS 2
#define NONE 255
#define BIT(n) (1 << (n))

/* Steps of a call at its replica. */
#define RECEIVED 1
#define READ 2
#define CHECKED 3
#define PROPOSED 4
#define APPLIED 5
#define DONE 6

/* The replicated state: whether the domain is evacuated, and the number of orders. */
bit evacuated;
byte orders;

byte calls;
byte step[CALLS];
byte base[CALLS];       /* the number of orders that the replica has read */
bit wanted[CALLS];
byte caller[CALLS];
byte abandoned;         /* a bit for each call whose caller has left */
byte started_over;      /* a bit for each call that has started over */

bit has_order[OPERATORS];
bit wants[OPERATORS];
byte current[OPERATORS]; /* the call that the operator waits for */

/* History for the assertion; no replica reads it. */
byte abandoned_at_start[OPERATORS]; /* abandoned when the operator's order was given */
byte too_late;                      /* the calls that may not be applied any more */

byte o, c;

/* Ends a call. What it leaves behind does not distinguish states. */
inline finish() {
	step[c] = DONE;
	base[c] = 0;
	wanted[c] = 0;
	caller[c] = 0;
	abandoned = abandoned & ~BIT(c);
	started_over = started_over & ~BIT(c);
	too_late = too_late & ~BIT(c);
	abandoned_at_start[0] = abandoned_at_start[0] & ~BIT(c);
	abandoned_at_start[1] = abandoned_at_start[1] & ~BIT(c)
}

inline acknowledge() {
	if
	:: !(abandoned & BIT(c)) ->
		too_late = too_late | abandoned_at_start[caller[c]];
		has_order[caller[c]] = 0;
		wants[caller[c]] = 0;
		abandoned_at_start[caller[c]] = 0;
		current[caller[c]] = NONE
	:: else
	fi;
	finish()
}

inline operate() {
	if
	:: !has_order[o] && calls < CALLS ->
		if
		:: wants[o] = 0
		:: wants[o] = 1
		fi;
		has_order[o] = 1;
		abandoned_at_start[o] = abandoned
	:: has_order[o] && current[o] == NONE && calls < CALLS ->
		c = calls;
		calls++;
		step[c] = RECEIVED;
		wanted[c] = wants[o];
		caller[c] = o;
		current[o] = c
	:: current[o] != NONE ->
		abandoned = abandoned | BIT(current[o]);
		current[o] = NONE
	:: has_order[o] && current[o] == NONE ->
		has_order[o] = 0;
		wants[o] = 0;
		abandoned_at_start[o] = 0
	fi
}

#ifdef NO_CHECK
#define MUST_CHECK false
#else
#ifdef CHECK_ONCE
#define MUST_CHECK (!(started_over & BIT(c)))
#else
#define MUST_CHECK true
#endif
#endif

inline read() {
	base[c] = orders;
#ifdef SKIP_REPEATED
	if
	:: evacuated == wanted[c] && !(abandoned & BIT(c)) -> acknowledge()
	:: else -> step[c] = next
	fi
#else
	step[c] = next
#endif
}

inline check() {
	if
	:: MUST_CHECK && (abandoned & BIT(c)) -> finish()
	:: else -> step[c] = next
	fi
}

inline apply() {
	if
#ifdef NO_BASE
	:: true ->
#else
	:: base[c] == orders ->
#endif
		assert(!(too_late & BIT(c)));
		orders++;
		evacuated = wanted[c];
		step[c] = APPLIED
#ifndef NO_BASE
	:: else ->
#ifdef NEVER_REFUSED
		assert(false);
#endif
		started_over = started_over | BIT(c);
		step[c] = RECEIVED
#endif
	fi
}

inline proceed() {
	byte next;
	if
	:: step[c] == RECEIVED ->
		next = READ;
#ifdef CHECK_FIRST
		check()
#else
		read()
#endif
	:: step[c] == READ ->
		next = CHECKED;
#ifdef CHECK_FIRST
		read()
#else
		check()
#endif
	:: step[c] == CHECKED -> step[c] = PROPOSED
	:: step[c] == PROPOSED -> apply()
	:: step[c] == APPLIED -> acknowledge()
	fi;
	next = 0
}

init {
	atomic {
		current[0] = NONE;
		current[1] = NONE
	};
	do
	:: atomic {
		if
		:: o = 0
		:: o = 1
		fi;
		if
		:: calls < CALLS || has_order[o] || current[o] != NONE -> operate()
		:: else
		fi;
		o = 0;
		c = 0
	}
	:: atomic {
		calls > 0;
		c = 0;
		do
		:: c < calls - 1 -> c++
		:: break
		od;
		if
		:: step[c] != DONE -> proceed()
		:: else
		fi;
		o = 0;
		c = 0
	}
	od
}
