/*
 * Routing lease, drain permit and move of one VM, with one entry process (the router) that may be
 * frozen or cut off from the leader. The leader cordons the VM and gives it to the other pool when
 * it is quiesced: the router has applied the cordon, or the target has echoed it and the routing
 * lease plus its margin have passed since. The target tells its state by announcements, one of which
 * may wait in the router's socket for as long as the router is frozen.
 *
 * Property: when the VM is given to the other pool, and later, the router sends it no request of the
 * old pool. Time is in ticks; LEASE and MARGIN stand for 4,000 ms and 500 ms.
 *
 * Steps and functions: applied = on_apply() (publish.c); the announcement = update_local()
 * (announce.c); the check before sending = check_before_send() in proxy.c; quiesced = is_quiesced()
 * (planner.c), health_quiesced_by_echo() (health.c).
 */
// variant: NO_LEASE violation
// variant: NO_PAUSE_WATCH violation
// variant: NO_QUIESCE violation
// variant: NO_ECHO_CHECK violation
// options: -DMEMLIM=1024

#define TICKS 14
#define LEASE 3
#define MARGIN 1

byte now;

/* Log and leader. */
bool cordoned;   /* committed */
bool moved;      /* committed */

/* Target. */
bool told;       /* it was told of the cordon, by any entry process, and echoes it */
byte told_at;

/* Router. */
bool cut;        /* does not hear the leader */
bool frozen;
bool resumed;    /* frozen before, and its sockets are not yet empty */
bool applied;    /* has applied the cordon */
byte heard_at;   /* latest announcement, + 1; 0: none */
bool heard_cordoned;

/* An announcement that waits in the router's socket. */
bool waiting;
bool waiting_cordoned;

#ifdef NO_LEASE
#define FRESH true
#else
#define FRESH (now < heard_at - 1 + LEASE)
#endif

#ifdef NO_ECHO_CHECK
#define MAY_SEND (heard_at > 0 && FRESH && !applied)
#else
#define MAY_SEND (heard_at > 0 && FRESH && !applied && !heard_cordoned)
#endif

#ifdef NO_QUIESCE
#define QUIESCED true
#else
#define QUIESCED (applied || (told && now >= told_at + LEASE + MARGIN))
#endif

#ifdef NO_PAUSE_WATCH
#define TRUSTED true
#else
#define TRUSTED (!resumed)
#endif

active proctype clock()
{
	do
	:: atomic { now < TICKS ->
		/* An announcement reaches a running router within the tick in which it was sent. */
		(frozen || !waiting);
		now++
	}
	:: now == TICKS -> break
	od
}

active proctype leader()
{
	cordoned = true;
end:	atomic { QUIESCED -> moved = true }
}

active proctype target()
{
	do
	:: atomic { now < TICKS && !waiting -> waiting = true; waiting_cordoned = told }
	/* Another entry process, which has applied the cordon, answers an announcement. */
	:: atomic { cordoned && !told -> told = true; told_at = now }
	:: now == TICKS -> break
	od
}

active proctype router()
{
	do
	:: atomic { !frozen && waiting ->
		waiting = false;
		if
		:: TRUSTED -> heard_at = now + 1; heard_cordoned = waiting_cordoned
		:: else -> skip
		fi
	}
	:: atomic { !frozen && resumed && !waiting -> resumed = false }
	:: atomic { !frozen && !cut && cordoned && !applied -> applied = true }
	:: atomic { !frozen && MAY_SEND -> assert(!moved) }
	:: atomic { !frozen -> frozen = true }
	:: atomic { frozen -> frozen = false; resumed = true }
	:: atomic { !cut -> cut = true }
	:: now == TICKS -> break
	od
}
