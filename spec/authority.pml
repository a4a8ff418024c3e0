/* Authority, acceptance of changes and the member list (design, sections 3 to 5).
 *
 * Instances 0 and 1 plan, 1 also judges what is in force, and 2 is a successor,
 * which only acts. An instance that is not a member acts, too. -DFIRST=n gives
 * the first member list. There are two assignment changes, each to one of several
 * lists; with -DCATALOGUE one catalogue change, the withdrawal of a caller key, is
 * judged, else the assignment changes are. With -DENDS instance 0 may end, with
 * -DDELAYED the answers of the store to it are delayed; -DENDS and -DSHORT have one
 * assignment change, -DDELAYED has none.
 *
 * An outage, a partition, a pause or a lost request is a run in which the step does
 * not happen. Time is a number of ticks: what is valid for AUTH ticks is a counter
 * that Clock decreases.
 *
 * Each -DNO_... removes one rule; spec/check.sh expects an error from it.
 */
#ifndef AUTH
#define AUTH 1 /* ticks for which evidence gives authority */
#endif
#define N 3
#ifdef DELAYED
#define LAST 0
#elif defined(ENDS) || defined(SHORT)
#define LAST 1
#else
#define LAST 2 /* highest assignment revision */
#endif

byte storeC, storeA;
byte list[3], prev[3]; /* member lists by assignment revision, as bits */
byte knowC[N], knowA[N];
byte readC[N], readA[N], readLeft[N]; /* answer of the store on its way */
byte storeLeft[N];                    /* authority by a store read */
byte pollLeft[9];                     /* [i*N+j]: evidence that i has from j */
byte seenC[N], seenA[N]; /* who is known to know the change, known assignment */
byte waitC[N], waitA[N]; /* 0 not learned, 1 in force, else ticks to go + 1 */
bool gone, forceC;
byte forceA, ackedA;
bool again;

#ifndef FIRST
#define FIRST 3 /* the members at revision 0, as bits */
#endif

#define BIT(i) (1 << (i))
#define COUNT(m) (((m) & 1) + (((m) >> 1) & 1) + ((m) >> 2))
#define JUDGES(i) ((i) == 1 && ALIVE(i))
#define DECIDES(i) ((i) < 2 && ALIVE(i))
#define ALIVE(i) (!(gone && (i) == 0))

#ifdef NO_MAJORITY
#define MAJORITY(got, of) (((got) & (of)) != 0)
#else
#define MAJORITY(got, of) (2 * COUNT((got) & (of)) > COUNT(of))
#endif
#ifdef NO_JOINT
#define BOTH(got, a) MAJORITY(got, list[a])
#else
#define BOTH(got, a) (MAJORITY(got, list[a]) && (prev[a] == 0 || MAJORITY(got, prev[a])))
#endif

#define POLLED(i) (BIT(i) | (pollLeft[(i) * N] > 0) | ((pollLeft[(i) * N + 1] > 0) << 1) \
	| ((pollLeft[(i) * N + 2] > 0) << 2))
#define HOLDS(i) (storeLeft[i] > 0 || BOTH(POLLED(i), knowA[i]))
#define LEARNED(i) (BOTH(seenA[i], knowA[i]) && (knowC[i] == 0 || BOTH(seenC[i], knowA[i])))

#ifdef DELAYED
#define SLOW(i) ((i) == 0)
#else
#define SLOW(i) false
#endif
#ifdef NO_CAS
#define CURRENT(i) true
#else
#define CURRENT(i) (knowA[i] == storeA)
#endif
#ifdef NO_LEARNED
#define MAY_WRITE(i) CURRENT(i)
#else
#define MAY_WRITE(i) (CURRENT(i) && LEARNED(i))
#endif

#define SAFE(i) (!ALIVE(i) || !HOLDS(i) || ((!forceC || knowC[i]) && knowA[i] >= forceA))

/* i applies the pair (c, a). A new member list restarts the waits. */
inline learn(i, c, a) {
#ifdef NO_MONOTONIC
	assert(c >= knowC[i] && a >= knowA[i]);
#endif
	if
	:: c > knowC[i] -> knowC[i] = c; seenC[i] = (i < 2 -> BIT(i) : 0)
	:: else
	fi;
	if
	:: a > knowA[i] -> knowA[i] = a; seenA[i] = (i < 2 -> BIT(i) : 0); waitA[i] = 0; waitC[i] = 0
	:: else
	fi
}

/* i receives j's answer to a poll, with the records if j knows more. */
inline poll(i, j) {
	learn(i, knowC[j], knowA[j]);
	pollLeft[i * N + j] = AUTH;
	if
	:: i < 2 && knowC[j] == 1 -> seenC[i] = seenC[i] | BIT(j)
	:: else
	fi;
	if
	:: i < 2 && knowA[j] == knowA[i] -> seenA[i] = seenA[i] | BIT(j)
	:: else
	fi
}

/* i, planning, writes a member list. The answer may be lost. */
inline plan(i, members) {
	if
	:: members == list[knowA[i]] -> prev[knowA[i] + 1] = 0
	:: else -> prev[knowA[i] + 1] = list[knowA[i]]
	fi;
	list[knowA[i] + 1] = members;
	assert(knowA[i] >= ackedA); /* an acknowledged assignment is not lost */
	assert(knowA[i] + 1 > storeA); /* revisions never go back */
	storeA = knowA[i] + 1;
	if
	:: true
	:: ackedA = storeA; learn(i, knowC[i], storeA)
	fi
}

/* 0 ends. */
inline stop() {
	knowC[0] = 0; knowA[0] = 0; storeLeft[0] = 0; readLeft[0] = 0; readC[0] = 0; readA[0] = 0;
	pollLeft[1] = 0; pollLeft[2] = 0; seenC[0] = 0; seenA[0] = 0
}

proctype Instance(byte i) {
	byte j;
	do
	/* the store reads both records; the answer takes its time */
	:: atomic { ALIVE(i) && !SLOW(i) -> learn(i, storeC, storeA); storeLeft[i] = AUTH }
	:: atomic { SLOW(i) && readLeft[i] == 0 ->
		readC[i] = storeC; readA[i] = storeA; readLeft[i] = AUTH }
	:: atomic { SLOW(i) && readLeft[i] > 0 ->
		learn(i, readC[i], readA[i]);
#ifdef NO_SENT
		storeLeft[i] = AUTH;
#else
		if
		:: readLeft[i] > storeLeft[i] -> storeLeft[i] = readLeft[i]
		:: else
		fi;
#endif
		readLeft[i] = 0; readC[i] = 0; readA[i] = 0 }
	/* a poll */
	:: atomic { ALIVE(i) ->
		if
		:: i != 0 && !gone -> j = 0
		:: i != 1 -> j = 1
		:: i != 2 -> j = 2
		fi;
		poll(i, j); j = 0 }
	/* a plan */
	:: atomic { DECIDES(i) && HOLDS(i) && knowA[i] < LAST && MAY_WRITE(i) ->
		if
		:: j = 4
		:: j = 7
		:: j = list[knowA[i]]
		fi;
		plan(i, j); j = 0 }
	/* the wait until a change is in force */
	:: atomic { JUDGES(i) && !forceC && knowC[i] == 1 && waitC[i] == 0 && BOTH(seenC[i], knowA[i]) ->
#ifdef NO_WAIT
		waitC[i] = ((seenC[i] & (list[knowA[i]] | prev[knowA[i]])) == (list[knowA[i]] | prev[knowA[i]]) -> 1 : AUTH + 1)
#else
		waitC[i] = AUTH + 1
#endif
		}
	:: atomic { JUDGES(i) && waitC[i] == 1 && !forceC -> forceC = 1; waitC[0] = 0; waitC[1] = 0 }
#ifndef CATALOGUE
	:: atomic { JUDGES(i) && waitA[i] == 0 && knowA[i] > forceA && BOTH(seenA[i], knowA[i]) -> waitA[i] = AUTH + 1 }
	:: atomic { JUDGES(i) && waitA[i] == 1 && knowA[i] > forceA -> forceA = knowA[i]; waitA[i] = 0 }
#endif
	/* the platform confirms that 0 has ended */
	:: atomic { DECIDES(i) && gone && (seenA[i] & 1) == 0 -> seenA[i] = seenA[i] | 1; seenC[i] = seenC[i] | 1 }
#ifdef NO_BOOT
	/* 0 restarts under its old id and forgets everything */
	:: atomic { i == 0 && !again -> again = 1; stop(); seenA[0] = 1 }
#endif
	od
}

proctype Clock() {
	byte i;
	do
	:: d_step {
		i = 0;
		do
		:: i < N ->
#ifndef NO_TTL
			storeLeft[i] = (storeLeft[i] > 0 -> storeLeft[i] - 1 : 0);
#endif
#ifndef NO_SENT
			readLeft[i] = (readLeft[i] > 0 -> readLeft[i] - 1 : 0);
#endif
			if
			:: readLeft[i] == 0 -> readC[i] = 0; readA[i] = 0
			:: else
			fi;
			waitC[i] = (waitC[i] > 1 -> waitC[i] - 1 : waitC[i]);
			waitA[i] = (waitA[i] > 1 -> waitA[i] - 1 : waitA[i]);
			i++
		:: else -> break
		od;
		i = 0;
		do
		:: i < 9 -> pollLeft[i] = (pollLeft[i] > 0 -> pollLeft[i] - 1 : 0); i++
		:: else -> break
		od;
		i = 0
	}
	od
}

init {
	atomic {
		list[0] = FIRST;
		seenA[0] = 1; seenA[1] = 2;
		run Instance(0); run Instance(1); run Instance(2); run Clock()
	}
	/* the withdrawal, the end of 0, and the invariant, which may be checked at any time */
	do
#ifdef CATALOGUE
	:: atomic { storeC == 0 -> storeC = 1 }
#endif
#ifdef ENDS
	:: atomic { !gone -> gone = 1; stop() }
#endif
	:: atomic { !(SAFE(0) && SAFE(1) && SAFE(2)) -> assert(false) }
	od
}
