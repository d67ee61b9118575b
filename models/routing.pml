/*
 * Models the routing lease, cordon and move of one VM, with one entry process (the router) that can
 * be frozen or disconnected from the leader. The leader cordons the VM and moves it to another pool
 * when the VM is quiesced: the router has applied the cordon, or the target has echoed the cordon
 * and the routing lease and a margin have passed since. The target reports its state by
 * announcements, one of which can be queued in the router's socket for as long as the router is
 * frozen.
 *
 * Property: from the move to the other pool on, the router sends the VM no request of the old pool.
 * Time is in ticks; LEASE and MARGIN stand for 4,000 ms and 500 ms.
 *
 * Each variant leaves out the rule named here, without which the property is violated:
 *   NO_LEASE         the router sends only within LEASE of the target's latest announcement
 *   NO_PAUSE_WATCH   after a freeze the router ignores announcements that were queued meanwhile
 *   NO_QUIESCE       the leader moves the VM only when it is quiesced
 *   NO_ECHO_CHECK    the router sends nothing to a target whose announcement echoes the cordon
 *
 * Corresponding functions: router_applied is set in on_apply() (publish.c); the router receives an
 * announcement in update_local() (announce.c) and checks before sending in check_before_send()
 * (proxy.c); QUIESCED is is_quiesced() (planner.c) and health_quiesced_by_echo() (health.c).
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

/* State of the replicated log and the leader. */
bool vm_cordoned;         /* whether the cordon is committed */
bool vm_moved;            /* whether the move is committed */

/* State of the target. */
bool target_told;         /* knows of the cordon from an entry process, and echoes it */
byte target_told_at;

/* State of the router. */
bool disconnected;        /* whether it receives nothing from the leader */
bool frozen;
bool resumed;             /* whether it has resumed from a freeze and not emptied its sockets yet */
bool router_applied;      /* whether it has applied the cordon */
byte announced_at;        /* 1 + time of the latest announcement it received; 0 if none */
bool announced_cordoned;  /* whether that announcement echoed the cordon */

/* Whether an announcement is queued in the router's socket, and whether it echoes the cordon. */
bool announcement_queued;
bool queued_cordoned;

#ifdef NO_LEASE
#define WITHIN_LEASE true
#else
#define WITHIN_LEASE (now < announced_at - 1 + LEASE)
#endif

#ifdef NO_ECHO_CHECK
#define MAY_SEND (announced_at > 0 && WITHIN_LEASE && !router_applied)
#else
#define MAY_SEND (announced_at > 0 && WITHIN_LEASE && !router_applied && !announced_cordoned)
#endif

#ifdef NO_QUIESCE
#define QUIESCED true
#else
#define QUIESCED (router_applied || (target_told && now >= target_told_at + LEASE + MARGIN))
#endif

#ifdef NO_PAUSE_WATCH
#define ANNOUNCEMENTS_TRUSTED true
#else
#define ANNOUNCEMENTS_TRUSTED (!resumed)
#endif

active proctype clock()
{
	do
	:: atomic { now < TICKS ->
		/* A router that is not frozen reads an announcement within the tick in which it was
		 * sent. */
		(frozen || !announcement_queued);
		now++
	}
	:: now == TICKS -> break
	od
}

active proctype leader()
{
	vm_cordoned = true;
end:	atomic { QUIESCED -> vm_moved = true }
}

active proctype target()
{
	do
	:: atomic { now < TICKS && !announcement_queued ->
		announcement_queued = true;
		queued_cordoned = target_told
	}
	/* Another entry process, which has applied the cordon, tells the target of it in the
	 * response to an announcement. */
	:: atomic { vm_cordoned && !target_told -> target_told = true; target_told_at = now }
	:: now == TICKS -> break
	od
}

active proctype router()
{
	do
	:: atomic { !frozen && announcement_queued ->
		announcement_queued = false;
		if
		:: ANNOUNCEMENTS_TRUSTED -> announced_at = now + 1; announced_cordoned = queued_cordoned
		:: else -> skip
		fi
	}
	:: atomic { !frozen && resumed && !announcement_queued -> resumed = false }
	:: atomic { !frozen && !disconnected && vm_cordoned && !router_applied -> router_applied = true }
	:: atomic { !frozen && MAY_SEND -> assert(!vm_moved) }
	:: atomic { !frozen -> frozen = true }
	:: atomic { frozen -> frozen = false; resumed = true }
	:: atomic { !disconnected -> disconnected = true }
	:: now == TICKS -> break
	od
}
