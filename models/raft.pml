/*
 * Models the replicated log of src/raft*.c: elections, replication with group fsync, commitment,
 * voter changes one at a time, crashes, and a lost disk whose node returns under a new identity.
 *
 * Messages are not modelled: a request with its reply is one step, which reads the sender's current
 * state. This also covers delayed messages. A delayed message is equal to a step that is done
 * earlier and whose reply the sender acts on later, because counting votes and committing are steps
 * of their own. Within a term entries and votes are only added, so the content of an older message
 * is a prefix of the current state. Pre-vote, check-quorum and the leader lease depend on time and
 * are not modelled.
 *
 * Identities 0, 1 and 2 are the founding voters. Identity 3 is the one that a node takes after it
 * has lost its disk. Each entry carries the set of voters that is in force from that entry on.
 *
 * Properties: there is at most one leader per term; every leader has all entries that were
 * committed in earlier terms; no committed entry changes.
 *
 * Each variant breaks the rule named here, without which a property is violated:
 *   REJOIN           a node that lost its disk takes a new identity before it returns
 *   COMMIT_OLDER     the last entry that a leader commits by counting replicas is of its own term
 *   ACK_BEFORE_SYNC  a follower acknowledges entries only after they are durable
 *   VOTE_NOT_SYNCED  a vote is recorded durably before it is sent
 *   CHANGE_EARLY     voters change only after the previous change, and an entry of the leader's
 *                    term, are committed
 */
// depth: 3000
// options: -DCOLLAPSE -DVECTORSZ=1024
// correct: elections -DTERMS=4 -DENTRIES=2 -DCRASHES=0 -DLOSSES=0
// correct: crash -DTERMS=3 -DENTRIES=2 -DCRASHES=1 -DLOSSES=0
// correct: lost-disk -DTERMS=3 -DENTRIES=2 -DCRASHES=0 -DLOSSES=1
// correct: lost-disk-crash -DTERMS=2 -DENTRIES=2 -DCRASHES=1 -DLOSSES=1
// correct: voter-change -DTERMS=2 -DENTRIES=3 -DCRASHES=0 -DLOSSES=1
// variant: REJOIN violation -DTERMS=3 -DENTRIES=2
// variant: COMMIT_OLDER violation -DTERMS=4 -DENTRIES=2 -DCRASHES=0 -DLOSSES=0
// variant: ACK_BEFORE_SYNC violation -DTERMS=3 -DENTRIES=2 -DLOSSES=0
// variant: VOTE_NOT_SYNCED violation -DTERMS=3 -DENTRIES=2 -DLOSSES=0
// variant: CHANGE_EARLY violation

#ifndef TERMS
#define TERMS 3
#endif
#ifndef ENTRIES
#define ENTRIES 3
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#ifndef LOSSES
#define LOSSES 1
#endif
#define N 4
#define NONE 7
#define FOUNDING_VOTERS 7
#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

typedef node_t {
	bool alive;
	byte role;
	byte term;
	byte vote;
	byte votes;		/* identities that voted for this one, one bit each */
	byte length;
	byte durable;		/* number of entries that survive a crash */
	byte terms[ENTRIES];	/* term of each entry */
	byte voters[ENTRIES];	/* set of voters carried by each entry, one bit each */
	byte commit;		/* leader only: number of committed entries */
	byte match[N];		/* leader only: number of entries acknowledged by each follower */
}

node_t nodes[N];
byte leader_of_term[TERMS + 1];
byte committed_length;			/* number of committed entries; for assertions, like the next two */
byte committed_terms[ENTRIES];
byte committed_by_term[ENTRIES];	/* term of the leader that committed each entry */
byte crashes;
bool disk_lost;
byte lost_identity = NONE;

byte i, count, total, k, mask;	/* temporaries, reset after each step; k is a number of entries */
bool ok;

#define BIT(x) (1 << (x))

/* Sets mask to the voters in force at the end of A's log. */
inline get_voters(A) {
	if
	:: nodes[A].length == 0 -> mask = FOUNDING_VOTERS
	:: else -> mask = nodes[A].voters[nodes[A].length - 1]
	fi
}

/* Resets the temporaries, so that they do not multiply the states. */
inline reset_temporaries() {
	i = 0; count = 0; total = 0; k = 0; mask = 0; ok = false
}

/* Makes A a follower, and sets its term to T if T is newer. */
inline become_follower(A, T) {
	nodes[A].role = FOLLOWER;
	nodes[A].votes = 0;
	nodes[A].commit = 0;
	nodes[A].match[0] = 0; nodes[A].match[1] = 0; nodes[A].match[2] = 0; nodes[A].match[3] = 0;
	if
	:: nodes[A].term < T -> nodes[A].term = T; nodes[A].vote = NONE
	:: else
	fi
}

inline append_entry(A, V) {
	nodes[A].terms[nodes[A].length] = nodes[A].term;
	nodes[A].voters[nodes[A].length] = V;
	nodes[A].length++
}

/* Sets k to the length of the common prefix of the logs of two nodes. */
inline get_common_prefix(A, B) {
	k = 0;
	do
	:: k < nodes[A].length && k < nodes[B].length && nodes[A].terms[k] == nodes[B].terms[k] -> k++
	:: else -> break
	od
}

inline start_election(A) {
	nodes[A].term++;
	nodes[A].vote = A;
	nodes[A].votes = BIT(A);
	nodes[A].role = CANDIDATE;
	nodes[A].durable = nodes[A].length;
	reset_temporaries()
}

/* Candidate C requests the vote of voter V. */
inline request_vote(C, V) {
	if
	:: nodes[V].term < nodes[C].term -> become_follower(V, nodes[C].term)
	:: else
	fi;
	ok = nodes[C].length == 0 && nodes[V].length == 0;
	if
	:: nodes[C].length > 0 && nodes[V].length == 0 -> ok = true
	:: nodes[C].length > 0 && nodes[V].length > 0 ->
		ok = nodes[C].terms[nodes[C].length - 1] > nodes[V].terms[nodes[V].length - 1] ||
		     (nodes[C].terms[nodes[C].length - 1] == nodes[V].terms[nodes[V].length - 1] &&
		      nodes[C].length >= nodes[V].length)
	:: else
	fi;
	if
	:: ok && nodes[V].term == nodes[C].term && (nodes[V].vote == NONE || nodes[V].vote == C) ->
#ifndef VOTE_NOT_SYNCED
		nodes[V].vote = C;
#endif
		nodes[V].durable = nodes[V].length;
		nodes[C].votes = nodes[C].votes | BIT(V)
	:: else
	fi;
	reset_temporaries()
}

/* Sets ok to whether SET contains a majority of the voters in mask. */
inline check_majority(SET) {
	count = 0; total = 0; i = 0;
	do
	:: i < N ->
		if
		:: mask & BIT(i) -> total++;
			if
			:: (SET) & BIT(i) -> count++
			:: else
			fi
		:: else
		fi;
		i++
	:: else -> break
	od;
	ok = 2 * count > total
}

/* Makes candidate A the leader if it has a majority of votes, and appends an entry of its term. */
inline become_leader(A) {
	get_voters(A);
	check_majority(nodes[A].votes);
	if
	:: ok ->
		assert(leader_of_term[nodes[A].term] == NONE);
		leader_of_term[nodes[A].term] = A;
		nodes[A].role = LEADER;
		nodes[A].votes = 0;
		k = 0;
		do
		:: k < committed_length && committed_by_term[k] < nodes[A].term ->
			assert(nodes[A].length > k && nodes[A].terms[k] == committed_terms[k]);
			k++
		:: else -> break
		od;
		if
		:: nodes[A].length < ENTRIES -> append_entry(A, mask)
		:: else
		fi
	:: else
	fi;
	reset_temporaries()
}

/* Leader L sends follower F the first entry in which their logs differ. */
inline replicate(L, F) {
	if
	:: nodes[F].term < nodes[L].term || nodes[F].role == CANDIDATE -> become_follower(F, nodes[L].term)
	:: else
	fi;
	get_common_prefix(L, F);
	if
	:: k < nodes[L].length ->
		if
		:: nodes[F].durable > k -> nodes[F].durable = k
		:: else
		fi;
		/* Unused entries are zeroed, so that equal logs are the same state. */
		i = k;
		do
		:: i < ENTRIES -> nodes[F].terms[i] = 0; nodes[F].voters[i] = 0; i++
		:: else -> break
		od;
		nodes[F].terms[k] = nodes[L].terms[k];
		nodes[F].voters[k] = nodes[L].voters[k];
		nodes[F].length = k + 1
	:: else
	fi;
	reset_temporaries()
}

/* Follower F syncs its log to disk and acknowledges to leader L the prefix that both logs share. */
inline acknowledge(L, F) {
	get_common_prefix(L, F);
#ifndef ACK_BEFORE_SYNC
	nodes[F].durable = nodes[F].length;
#endif
	nodes[L].match[F] = k;
	reset_temporaries()
}

/* Commits the entries up to the last one that a majority of the voters has stored durably. Asserts
 * that no entry committed earlier differs. */
inline advance_commit(L) {
	get_voters(L);
	k = nodes[L].length;
	do
	:: k > nodes[L].commit ->
		total = 0; i = 0; count = 0;
		do
		:: i < N ->
			if
			:: (mask & BIT(i)) ->
				total++;
				if
				:: (i == L && nodes[L].durable >= k) ||
				   (i != L && nodes[L].match[i] >= k) -> count++
				:: else
				fi
			:: else
			fi;
			i++
		:: else -> break
		od;
#ifdef COMMIT_OLDER
		ok = 2 * count > total;
#else
		ok = 2 * count > total && nodes[L].terms[k - 1] == nodes[L].term;
#endif
		if
		:: ok -> break
		:: else -> k--
		fi
	:: else -> break
	od;
	if
	:: ok && k > nodes[L].commit ->
		nodes[L].commit = k;
		i = 0;
		do
		:: i < k ->
			if
			:: i < committed_length -> assert(committed_terms[i] == nodes[L].terms[i])
			:: else ->
				committed_terms[i] = nodes[L].terms[i];
				committed_by_term[i] = nodes[L].term;
				committed_length = i + 1
			fi;
			i++
		:: else -> break
		od
	:: else
	fi;
	reset_temporaries()
}

/* Appends the next change of the voters: first the removal of the lost identity, then the addition
 * of the new one. */
inline change_voters(L) {
	get_voters(L);
	/* Sets k to the number of entries up to the latest change of the voters. */
	k = nodes[L].length;
	do
	:: k > 1 && nodes[L].voters[k - 1] == nodes[L].voters[k - 2] -> k--
	:: else -> break
	od;
	if
	:: k == 1 && nodes[L].voters[0] == FOUNDING_VOTERS -> k = 0
	:: else
	fi;
#ifdef CHANGE_EARLY
	ok = true;
#else
	ok = nodes[L].commit >= k && nodes[L].commit > 0 &&
	     nodes[L].terms[nodes[L].commit - 1] == nodes[L].term;
#endif
	if
	:: ok && (mask & BIT(lost_identity)) -> append_entry(L, mask & ~BIT(lost_identity))
	:: ok && !(mask & BIT(lost_identity)) && !(mask & BIT(3)) -> append_entry(L, mask | BIT(3))
	:: else
	fi;
	reset_temporaries()
}

/* Node A crashes and restarts with its durable entries. */
inline crash(A) {
	crashes++;
	i = nodes[A].durable;
	do
	:: i < ENTRIES -> nodes[A].terms[i] = 0; nodes[A].voters[i] = 0; i++
	:: else -> break
	od;
	nodes[A].length = nodes[A].durable;
	become_follower(A, 0);
	reset_temporaries()
}

/* Identity A loses its disk, and its node returns as identity 3. */
inline lose_disk(A) {
	disk_lost = true;
	lost_identity = A;
	nodes[A].term = 0;
	nodes[A].vote = NONE;
	nodes[A].length = 0;
	nodes[A].durable = 0;
	i = 0;
	do
	:: i < ENTRIES -> nodes[A].terms[i] = 0; nodes[A].voters[i] = 0; i++
	:: else -> break
	od;
	become_follower(A, 0);
#ifndef REJOIN
	nodes[A].alive = false;
	nodes[3].alive = true;
#endif
	reset_temporaries()
}

/* The new identity may vote once its own log makes it a voter. */
#define MAY_VOTE(A) \
	(nodes[A].alive && \
	 (A != 3 || (nodes[A].length > 0 && (nodes[A].voters[nodes[A].length - 1] & BIT(3)))))
/* Whether B is a voter according to A's log. */
#define IS_VOTER(A, B) \
	((nodes[A].length == 0 && B != 3) || \
	 (nodes[A].length > 0 && (nodes[A].voters[nodes[A].length - 1] & BIT(B))))

/* Steps that A takes alone. */
#define NODE_STEPS(A) \
	:: nodes[A].alive && nodes[A].role != LEADER && nodes[A].term < TERMS && MAY_VOTE(A) && \
	   IS_VOTER(A, A) -> d_step { start_election(A) } \
	:: nodes[A].role == CANDIDATE -> d_step { become_leader(A) } \
	:: nodes[A].role == LEADER && nodes[A].length < ENTRIES -> \
		d_step { get_voters(A); append_entry(A, mask); reset_temporaries() } \
	:: nodes[A].role == LEADER && nodes[A].durable < nodes[A].length -> \
		d_step { nodes[A].durable = nodes[A].length } \
	:: nodes[A].role == LEADER && nodes[A].length > nodes[A].commit -> d_step { advance_commit(A) } \
	:: nodes[A].role == LEADER && nodes[A].length < ENTRIES && lost_identity != NONE && \
	   nodes[3].alive -> \
		d_step { change_voters(A) } \
	:: nodes[A].alive && crashes < CRASHES -> d_step { crash(A) }

/* Steps that A, a candidate or leader, takes with B. */
#define PAIR_STEPS(A, B) \
	:: nodes[A].role == CANDIDATE && nodes[B].alive && IS_VOTER(A, B) && \
	   nodes[B].term <= nodes[A].term && !(nodes[A].votes & BIT(B)) -> d_step { request_vote(A, B) } \
	:: nodes[A].role == LEADER && nodes[B].alive && nodes[B].term <= nodes[A].term -> \
		d_step { replicate(A, B) } \
	:: nodes[A].role == LEADER && nodes[B].alive && nodes[B].term == nodes[A].term && \
	   nodes[B].role == FOLLOWER -> \
		d_step { acknowledge(A, B) }

init {
	d_step {
		do
		:: i < N -> nodes[i].vote = NONE; nodes[i].alive = (i != 3); i++
		:: else -> break
		od;
		i = 0;
		do
		:: i <= TERMS -> leader_of_term[i] = NONE; i++
		:: else -> break
		od;
		reset_temporaries()
	}
end:	do
	NODE_STEPS(0)
	NODE_STEPS(1)
	NODE_STEPS(2)
	NODE_STEPS(3)
	PAIR_STEPS(0, 1)
	PAIR_STEPS(0, 2)
	PAIR_STEPS(0, 3)
	PAIR_STEPS(1, 0)
	PAIR_STEPS(1, 2)
	PAIR_STEPS(1, 3)
	PAIR_STEPS(2, 0)
	PAIR_STEPS(2, 1)
	PAIR_STEPS(2, 3)
	PAIR_STEPS(3, 0)
	PAIR_STEPS(3, 1)
	PAIR_STEPS(3, 2)
#if LOSSES
	/* The founding voters are symmetric, so it suffices that one of them can lose its disk. */
	:: !disk_lost -> d_step { lose_disk(2) }
#endif
	od
}
