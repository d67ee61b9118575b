/*
 * The replicated log of src/raft*.c: elections, replication with group fsync, commitment, voter
 * changes one at a time, crashes, and a lost disk whose node returns under a new identity.
 *
 * Messages are not modelled as such. An exchange is one step that reads the sender's present state;
 * a delayed message equals the exchange taking place earlier with its effect at the receiver of the
 * reply noticed later, which the separate steps of counting votes and committing allow. Entries and
 * votes are only ever added within a term, so that an older message is a prefix of the present
 * state. Pre-vote, check-quorum and the lease concern time and are not in the model.
 *
 * Identities 0, 1 and 2 are the founding voters; 3 is the identity that a node takes after it lost
 * its disk. Each entry carries the set of voters in force from it on.
 *
 * Checked: one leader for each term, every leader holds the entries that were committed in earlier
 * terms, no committed entry changes.
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
#define FOUNDING 7
#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

typedef replica_t {
	bool alive;
	byte role;
	byte term;
	byte vote;
	byte votes;		/* mask of granted votes */
	byte length;
	byte durable;		/* entries that survive a crash */
	byte terms[ENTRIES];
	byte voters[ENTRIES];
	byte commit;		/* while leading */
	byte match[N];		/* while leading */
}

replica_t r[N];
byte leader_of[TERMS + 1];
byte committed;			/* ghost: the committed log */
byte committed_terms[ENTRIES];
byte committed_in[ENTRIES];	/* term of the leader that committed the entry */
byte crashes;
bool lost;
byte lost_id = NONE;

byte i, count, total, k, mask;	/* scratch; reset after each step */
bool ok;

#define BIT(x) (1 << (x))

/* Voters in force at the end of a's log. */
inline voters_of(A) {
	if
	:: r[A].length == 0 -> mask = FOUNDING
	:: else -> mask = r[A].voters[r[A].length - 1]
	fi
}

inline clear() {
	i = 0; count = 0; total = 0; k = 0; mask = 0; ok = false
}

inline follow(A, T) {
	r[A].role = FOLLOWER;
	r[A].votes = 0;
	r[A].commit = 0;
	r[A].match[0] = 0; r[A].match[1] = 0; r[A].match[2] = 0; r[A].match[3] = 0;
	if
	:: r[A].term < T -> r[A].term = T; r[A].vote = NONE
	:: else
	fi
}

inline append(A, V) {
	r[A].terms[r[A].length] = r[A].term;
	r[A].voters[r[A].length] = V;
	r[A].length++
}

/* Length of the common prefix of two logs, in k. */
inline common(A, B) {
	k = 0;
	do
	:: k < r[A].length && k < r[B].length && r[A].terms[k] == r[B].terms[k] -> k++
	:: else -> break
	od
}

inline time_out(A) {
	r[A].term++;
	r[A].vote = A;
	r[A].votes = BIT(A);
	r[A].role = CANDIDATE;
	r[A].durable = r[A].length;
	clear()
}

/* c asks v for its vote. */
inline ask(C, V) {
	if
	:: r[V].term < r[C].term -> follow(V, r[C].term)
	:: else
	fi;
	ok = r[C].length == 0 && r[V].length == 0;
	if
	:: r[C].length > 0 && r[V].length == 0 -> ok = true
	:: r[C].length > 0 && r[V].length > 0 ->
		ok = r[C].terms[r[C].length - 1] > r[V].terms[r[V].length - 1] ||
		     (r[C].terms[r[C].length - 1] == r[V].terms[r[V].length - 1] && r[C].length >= r[V].length)
	:: else
	fi;
	if
	:: ok && r[V].term == r[C].term && (r[V].vote == NONE || r[V].vote == C) ->
#ifndef VOTE_NOT_SYNCED
		r[V].vote = C;
#endif
		r[V].durable = r[V].length;
		r[C].votes = r[C].votes | BIT(V)
	:: else
	fi;
	clear()
}

/* Sets ok when the voters of a in set (a mask in total) are a majority of a's configuration. */
inline majority(SET) {
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

inline lead(A) {
	voters_of(A);
	majority(r[A].votes);
	if
	:: ok ->
		assert(leader_of[r[A].term] == NONE);
		leader_of[r[A].term] = A;
		r[A].role = LEADER;
		r[A].votes = 0;
		k = 0;
		do
		:: k < committed && committed_in[k] < r[A].term ->
			assert(r[A].length > k && r[A].terms[k] == committed_terms[k]);
			k++
		:: else -> break
		od;
		if
		:: r[A].length < ENTRIES -> append(A, mask)
		:: else
		fi
	:: else
	fi;
	clear()
}

inline replicate(L, F) {
	if
	:: r[F].term < r[L].term || r[F].role == CANDIDATE -> follow(F, r[L].term)
	:: else
	fi;
	common(L, F);
	if
	:: k < r[L].length ->
		if
		:: r[F].durable > k -> r[F].durable = k
		:: else
		fi;
		/* Bytes behind the end are kept zero, so that equal logs are one state. */
		i = k;
		do
		:: i < ENTRIES -> r[F].terms[i] = 0; r[F].voters[i] = 0; i++
		:: else -> break
		od;
		r[F].terms[k] = r[L].terms[k];
		r[F].voters[k] = r[L].voters[k];
		r[F].length = k + 1
	:: else
	fi;
	clear()
}

inline acknowledge(L, F) {
	common(L, F);
#ifndef ACK_BEFORE_SYNC
	r[F].durable = r[F].length;
#endif
	r[L].match[F] = k;
	clear()
}

/* Commits the next entry that may be, and checks it against the ghost. */
inline advance(L) {
	voters_of(L);
	k = r[L].length;
	do
	:: k > r[L].commit ->
		total = 0; i = 0; count = 0;
		do
		:: i < N ->
			if
			:: (mask & BIT(i)) ->
				total++;
				if
				:: (i == L && r[L].durable >= k) ||
				   (i != L && r[L].match[i] >= k) -> count++
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
		ok = 2 * count > total && r[L].terms[k - 1] == r[L].term;
#endif
		if
		:: ok -> break
		:: else -> k--
		fi
	:: else -> break
	od;
	if
	:: ok && k > r[L].commit ->
		r[L].commit = k;
		i = 0;
		do
		:: i < k ->
			if
			:: i < committed -> assert(committed_terms[i] == r[L].terms[i])
			:: else ->
				committed_terms[i] = r[L].terms[i];
				committed_in[i] = r[L].term;
				committed = i + 1
			fi;
			i++
		:: else -> break
		od
	:: else
	fi;
	clear()
}

/* Removes the lost identity; then promotes the new one. */
inline change(L) {
	voters_of(L);
	/* k: entries up to the latest change of the voters */
	k = r[L].length;
	do
	:: k > 1 && r[L].voters[k - 1] == r[L].voters[k - 2] -> k--
	:: else -> break
	od;
	if
	:: k == 1 && r[L].voters[0] == FOUNDING -> k = 0
	:: else
	fi;
#ifdef CHANGE_EARLY
	ok = true;
#else
	ok = r[L].commit >= k && r[L].commit > 0 && r[L].terms[r[L].commit - 1] == r[L].term;
#endif
	if
	:: ok && (mask & BIT(lost_id)) -> append(L, mask & ~BIT(lost_id))
	:: ok && !(mask & BIT(lost_id)) && !(mask & BIT(3)) -> append(L, mask | BIT(3))
	:: else
	fi;
	clear()
}

inline crash(A) {
	crashes++;
	i = r[A].durable;
	do
	:: i < ENTRIES -> r[A].terms[i] = 0; r[A].voters[i] = 0; i++
	:: else -> break
	od;
	r[A].length = r[A].durable;
	follow(A, 0);
	clear()
}

inline lose_disk(A) {
	lost = true;
	lost_id = A;
	r[A].term = 0;
	r[A].vote = NONE;
	r[A].length = 0;
	r[A].durable = 0;
	i = 0;
	do
	:: i < ENTRIES -> r[A].terms[i] = 0; r[A].voters[i] = 0; i++
	:: else -> break
	od;
	follow(A, 0);
#ifndef REJOIN
	r[A].alive = false;
	r[3].alive = true;
#endif
	clear()
}

#define MAY_VOTE(A) (r[A].alive && (A != 3 || (r[A].length > 0 && (r[A].voters[r[A].length - 1] & BIT(3)))))
#define IN_CONFIG(A, B) \
	((r[A].length == 0 && B != 3) || (r[A].length > 0 && (r[A].voters[r[A].length - 1] & BIT(B))))

#define ACTIONS_OF(A) \
	:: r[A].alive && r[A].role != LEADER && r[A].term < TERMS && MAY_VOTE(A) && \
	   IN_CONFIG(A, A) -> d_step { time_out(A) } \
	:: r[A].role == CANDIDATE -> d_step { lead(A) } \
	:: r[A].role == LEADER && r[A].length < ENTRIES -> d_step { voters_of(A); append(A, mask); clear() } \
	:: r[A].role == LEADER && r[A].durable < r[A].length -> d_step { r[A].durable = r[A].length } \
	:: r[A].role == LEADER && r[A].length > r[A].commit -> d_step { advance(A) } \
	:: r[A].role == LEADER && r[A].length < ENTRIES && lost_id != NONE && r[3].alive -> \
		d_step { change(A) } \
	:: r[A].alive && crashes < CRASHES -> d_step { crash(A) }

#define PAIR(A, B) \
	:: r[A].role == CANDIDATE && r[B].alive && IN_CONFIG(A, B) && r[B].term <= r[A].term && \
	   !(r[A].votes & BIT(B)) -> d_step { ask(A, B) } \
	:: r[A].role == LEADER && r[B].alive && r[B].term <= r[A].term -> d_step { replicate(A, B) } \
	:: r[A].role == LEADER && r[B].alive && r[B].term == r[A].term && r[B].role == FOLLOWER -> \
		d_step { acknowledge(A, B) }

init {
	d_step {
		do
		:: i < N -> r[i].vote = NONE; r[i].alive = (i != 3); i++
		:: else -> break
		od;
		i = 0;
		do
		:: i <= TERMS -> leader_of[i] = NONE; i++
		:: else -> break
		od;
		clear()
	}
end:	do
	ACTIONS_OF(0)
	ACTIONS_OF(1)
	ACTIONS_OF(2)
	ACTIONS_OF(3)
	PAIR(0, 1)
	PAIR(0, 2)
	PAIR(0, 3)
	PAIR(1, 0)
	PAIR(1, 2)
	PAIR(1, 3)
	PAIR(2, 0)
	PAIR(2, 1)
	PAIR(2, 3)
	PAIR(3, 0)
	PAIR(3, 1)
	PAIR(3, 2)
#if LOSSES
	/* The founding voters are alike, so one stands for each. */
	:: !lost -> d_step { lose_disk(2) }
#endif
	od
}
