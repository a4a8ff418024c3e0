/* Model of authority, of the decision that a change is in force, and of the member
 * list (design, sections 3 to 5).
 *
 * Instances 0 and 1 plan, instance 1 also decides what is in force, and instance 2, a
 * successor, only acts. An instance that is not a member acts, too. -DFIRST=n sets
 * the first member list. There are two assignment changes, each to one of several
 * member lists. With -DCATALOGUE, the model checks when one catalogue change, the
 * withdrawal of a caller key, is in force, otherwise when the assignment changes are.
 * With -DENDS, instance 0 may end. With -DDELAYED, the answers of the store to it are
 * delayed. -DENDS and -DSHORT have one assignment change, -DDELAYED has none.
 *
 * Outages, partitions, pauses and lost requests are modelled by steps that are not
 * taken. Time is counted in ticks: a counter that the process Clock decrements gives
 * the ticks for which authority or a read remains valid.
 *
 * Each -DNO_... removes one rule of the protocol, and spec/check.sh expects the search
 * to find an error without it.
 */
#ifndef AUTH
#define AUTH 1 /* ticks for which an answer of the store or a peer gives authority */
#endif
#define N 3
#ifdef DELAYED
#define LAST_REV 0
#elif defined(ENDS) || defined(SHORT)
#define LAST_REV 1
#else
#define LAST_REV 2 /* highest assignment revision */
#endif

/* Variables that end in C concern the catalogue, those that end in A the assignment. */
byte storeC, storeA; /* revisions in the store */
byte list[3], prev[3]; /* member lists by assignment revision, as bits */
byte knownC[N], knownA[N];
byte readC[N], readA[N], readLeft[N]; /* delayed answer of the store: revisions, ticks of validity left */
byte storeLeft[N];                    /* ticks of authority left from a store read */
byte pollLeft[9];                     /* [i*N+j]: ticks of authority left for i from the answer of j to a poll */
byte learnersC[N], learnersA[N]; /* by instance: bits of the instances known to have learned the change or its known assignment */
byte waitC[N], waitA[N]; /* 0: wait not started, 1: in force, otherwise ticks left + 1 */
bool ended, inForceC;
byte inForceA, ackedA;
bool restarted;

#ifndef FIRST
#define FIRST 3 /* the members at revision 0, as bits */
#endif

#define BIT(i) (1 << (i))
#define COUNT(m) (((m) & 1) + (((m) >> 1) & 1) + ((m) >> 2))
#define DECIDES_IN_FORCE(i) ((i) == 1 && ALIVE(i))
#define PLANS(i) ((i) < 2 && ALIVE(i))
#define ALIVE(i) (!(ended && (i) == 0))

#ifdef NO_MAJORITY
#define MAJORITY(got, of) (((got) & (of)) != 0)
#else
#define MAJORITY(got, of) (2 * COUNT((got) & (of)) > COUNT(of))
#endif
#ifdef NO_JOINT
#define BOTH_MAJORITIES(got, a) MAJORITY(got, list[a])
#else
#define BOTH_MAJORITIES(got, a) (MAJORITY(got, list[a]) && (prev[a] == 0 || MAJORITY(got, prev[a])))
#endif

#define POLLED(i) (BIT(i) | (pollLeft[(i) * N] > 0) | ((pollLeft[(i) * N + 1] > 0) << 1) \
	| ((pollLeft[(i) * N + 2] > 0) << 2))
#define HAS_AUTHORITY(i) (storeLeft[i] > 0 || BOTH_MAJORITIES(POLLED(i), knownA[i]))
#define LEARNED(i) (BOTH_MAJORITIES(learnersA[i], knownA[i]) && (knownC[i] == 0 || BOTH_MAJORITIES(learnersC[i], knownA[i])))

#ifdef DELAYED
#define READS_DELAYED(i) ((i) == 0)
#else
#define READS_DELAYED(i) false
#endif
#ifdef NO_CAS
#define CURRENT(i) true
#else
#define CURRENT(i) (knownA[i] == storeA)
#endif
#ifdef NO_LEARNED
#define MAY_WRITE(i) CURRENT(i)
#else
#define MAY_WRITE(i) (CURRENT(i) && LEARNED(i))
#endif

#define SAFE(i) (!ALIVE(i) || !HAS_AUTHORITY(i) || ((!inForceC || knownC[i]) && knownA[i] >= inForceA))

/* Instance i applies revisions c and a. A new member list restarts the waits. */
inline learn(i, c, a) {
#ifdef NO_MONOTONIC
	assert(c >= knownC[i] && a >= knownA[i]);
#endif
	if
	:: c > knownC[i] -> knownC[i] = c; learnersC[i] = (i < 2 -> BIT(i) : 0)
	:: else
	fi;
	if
	:: a > knownA[i] -> knownA[i] = a; learnersA[i] = (i < 2 -> BIT(i) : 0); waitA[i] = 0; waitC[i] = 0
	:: else
	fi
}

/* Instance i receives the answer of j to a poll, with the records if they are newer. */
inline poll(i, j) {
	learn(i, knownC[j], knownA[j]);
	pollLeft[i * N + j] = AUTH;
	if
	:: i < 2 && knownC[j] == 1 -> learnersC[i] = learnersC[i] | BIT(j)
	:: else
	fi;
	if
	:: i < 2 && knownA[j] == knownA[i] -> learnersA[i] = learnersA[i] | BIT(j)
	:: else
	fi
}

/* Instance i, as planner, writes a member list. The answer of the store may be lost. */
inline plan(i, members) {
	if
	:: members == list[knownA[i]] -> prev[knownA[i] + 1] = 0
	:: else -> prev[knownA[i] + 1] = list[knownA[i]]
	fi;
	list[knownA[i] + 1] = members;
	assert(knownA[i] >= ackedA); /* an acknowledged assignment is not lost */
	assert(knownA[i] + 1 > storeA); /* revisions never go back */
	storeA = knownA[i] + 1;
	if
	:: true
	:: ackedA = storeA; learn(i, knownC[i], storeA)
	fi
}

/* Instance 0 ends and loses its state. */
inline stop() {
	knownC[0] = 0; knownA[0] = 0; storeLeft[0] = 0; readLeft[0] = 0; readC[0] = 0; readA[0] = 0;
	pollLeft[1] = 0; pollLeft[2] = 0; learnersC[0] = 0; learnersA[0] = 0
}

proctype Instance(byte i) {
	byte j;
	do
	/* a read of both records from the store; its answer may be delayed */
	:: atomic { ALIVE(i) && !READS_DELAYED(i) -> learn(i, storeC, storeA); storeLeft[i] = AUTH }
	:: atomic { READS_DELAYED(i) && readLeft[i] == 0 ->
		readC[i] = storeC; readA[i] = storeA; readLeft[i] = AUTH }
	:: atomic { READS_DELAYED(i) && readLeft[i] > 0 ->
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
	/* a poll of another instance */
	:: atomic { ALIVE(i) ->
		if
		:: i != 0 && !ended -> j = 0
		:: i != 1 -> j = 1
		:: i != 2 -> j = 2
		fi;
		poll(i, j); j = 0 }
	/* a plan: a list of instance 2, a list of all, or no change of the list */
	:: atomic { PLANS(i) && HAS_AUTHORITY(i) && knownA[i] < LAST_REV && MAY_WRITE(i) ->
		if
		:: j = 4
		:: j = 7
		:: j = list[knownA[i]]
		fi;
		plan(i, j); j = 0 }
	/* the wait until a change is in force */
	:: atomic { DECIDES_IN_FORCE(i) && !inForceC && knownC[i] == 1 && waitC[i] == 0 && BOTH_MAJORITIES(learnersC[i], knownA[i]) ->
#ifdef NO_WAIT
		waitC[i] = ((learnersC[i] & (list[knownA[i]] | prev[knownA[i]])) == (list[knownA[i]] | prev[knownA[i]]) -> 1 : AUTH + 1)
#else
		waitC[i] = AUTH + 1
#endif
		}
	:: atomic { DECIDES_IN_FORCE(i) && waitC[i] == 1 && !inForceC -> inForceC = 1; waitC[0] = 0; waitC[1] = 0 }
#ifndef CATALOGUE
	:: atomic { DECIDES_IN_FORCE(i) && waitA[i] == 0 && knownA[i] > inForceA && BOTH_MAJORITIES(learnersA[i], knownA[i]) -> waitA[i] = AUTH + 1 }
	:: atomic { DECIDES_IN_FORCE(i) && waitA[i] == 1 && knownA[i] > inForceA -> inForceA = knownA[i]; waitA[i] = 0 }
#endif
	/* the platform confirms that instance 0 has ended */
	:: atomic { PLANS(i) && ended && (learnersA[i] & 1) == 0 -> learnersA[i] = learnersA[i] | 1; learnersC[i] = learnersC[i] | 1 }
#ifdef NO_BOOT
	/* instance 0 restarts under its old id and loses its state */
	:: atomic { i == 0 && !restarted -> restarted = 1; stop(); learnersA[0] = 1 }
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
		learnersA[0] = 1; learnersA[1] = 2;
		run Instance(0); run Instance(1); run Instance(2); run Clock()
	}
	/* the withdrawal, the end of instance 0, and the invariant, checked at any time */
	do
#ifdef CATALOGUE
	:: atomic { storeC == 0 -> storeC = 1 }
#endif
#ifdef ENDS
	:: atomic { !ended -> ended = 1; stop() }
#endif
	:: atomic { !(SAFE(0) && SAFE(1) && SAFE(2)) -> assert(false) }
	od
}
