/*
 * Ownership of the runs of one task: intents in the log, orders that are repeated or carried out
 * late, fencing tokens, stops, holds, leases, lives of VMs and a deposed leader that goes on sending.
 * Abstracts batch_orders.c, batch_hold.c and batch_dispatch.c; the log itself is models/raft.pml.
 *
 * Promises: two runs never run at the same time, and none starts once an end `done` is recorded.
 */
// variant: NO_FENCE violation
// variant: NO_HOLD_BEFORE_LOSS violation
// variant: NO_STOP_BEFORE_LOSS violation
// variant: REFUSAL_AFTER_REPEAT_IS_FINAL violation
// variant: NO_LEASE_WAIT violation
// variant: NO_LIFE_CHECK violation
// variant: NO_RUN_CHECK violation
// depth: 100000
// options: -DCOLLAPSE -DVECTORSZ=2048

#define VMS 2
#define RUNS 2
#define SLOTS 3
#define TRIES 2
#define TERMS 2

#define WAITING 0
#define ASSIGNED 1
#define DONE 2

#define INHERITED 0 /* from an earlier leader */
#define ORDERED 1
#define CONFIRMED 2
#define UNSURE 3

#define FREE 0
#define START 1
#define STOP 2

#ifdef NO_FENCE
#define NO_FENCE_CHECK true
#else
#define NO_FENCE_CHECK false
#endif
#ifdef NO_RUN_CHECK
#define NO_CLOSED_CHECK true
#else
#define NO_CLOSED_CHECK false
#endif
#ifdef REFUSAL_AFTER_REPEAT_IS_FINAL
#define FINAL_REFUSAL true
#else
#define FINAL_REFUSAL false
#endif
#ifdef NO_LEASE_WAIT
#define LEASE_HAS_ENDED true
#else
#define LEASE_HAS_ENDED vms[0].lapsed
#endif
#ifdef NO_LIFE_CHECK
#define NO_LIFE_GUARD true
#else
#define NO_LIFE_GUARD false
#endif

/* An order on its way. Any of them may be delivered at any time, which covers late and reordered
 * ones; one that is never delivered is lost. */
typedef order_t {
	byte kind;
	byte vm;
	byte life;
	byte number;
	byte fence;
	bool awaited; /* the leader still waits for the answer */
	bool expired; /* its lease has ended */
};

typedef vm_t {
	byte life;
	byte fence;
	byte running; /* run; 0: none */
	byte closed;  /* highest run that was stopped or has ended */
	byte done;    /* run whose end is listed; 0: none */
	bool cut;     /* no call gets through */
	bool lapsed;  /* its lease ended while it was cut off */
};

order_t orders[SLOTS];
vm_t vms[VMS];

/* The replicated record of the task. */
byte status = WAITING;
byte number = 0;
byte at = 0;
byte at_life = 0;

/* The leader. */
byte term = 1;
byte phase = INHERITED;
byte tries = 0;
bool stop_acked = false;

bool crashed = false;
bool cut_once = false;

inline send_order(k, to, l, r, f, slot)
{
	orders[slot].kind = k;
	orders[slot].vm = to;
	orders[slot].life = l;
	orders[slot].number = r;
	orders[slot].fence = f;
	orders[slot].awaited = true;
	orders[slot].expired = false;
	/* A start carries a lease of its own: the leader waits for its end, too. */
	if
	:: k == START -> vms[to].lapsed = false
	:: else -> skip
	fi
}

/* Answers of orders of earlier runs or leaders are ignored. */
inline forget_answers()
{
	orders[0].awaited = false;
	orders[1].awaited = false;
	orders[2].awaited = false;
}

inline lose_run()
{
	status = WAITING;
	phase = INHERITED;
	tries = 0;
	stop_acked = false;
	forget_answers();
}

inline start_unsure()
{
	phase = UNSURE;
	stop_acked = false;
}

/* The VM carries out a start. accepted tells the answer. */
inline vm_start(v, s, accepted)
{
	accepted = false;
	if
	:: orders[s].fence < vms[v].fence && !(NO_FENCE_CHECK) -> skip
	:: else ->
		if
		:: orders[s].fence > vms[v].fence -> vms[v].fence = orders[s].fence
		:: else -> skip
		fi;
		if
		:: vms[v].running == orders[s].number -> accepted = true
		:: vms[v].running != orders[s].number && orders[s].number <= vms[v].closed &&
		   !(NO_CLOSED_CHECK) -> skip
		:: vms[v].running != orders[s].number && orders[s].expired -> skip
		:: vms[v].running != orders[s].number && !orders[s].expired &&
		   (orders[s].number > vms[v].closed || NO_CLOSED_CHECK) ->
			if
			:: true ->
				/* The promises. */
				assert(vms[0].running == 0 && vms[1].running == 0);
				assert(status != DONE);
				vms[v].running = orders[s].number;
				accepted = true
			:: true -> skip /* no room, unhealthy */
			fi
		fi
	fi
}

inline vm_stop(v, s)
{
	if
	:: orders[s].fence < vms[v].fence -> skip
	:: else ->
		vms[v].fence = orders[s].fence;
		if
		:: orders[s].number > vms[v].closed -> vms[v].closed = orders[s].number
		:: else -> skip
		fi;
		if
		:: vms[v].running != 0 && vms[v].running <= orders[s].number -> vms[v].running = 0
		:: else -> skip
		fi
	fi
}

inline start_answered(s, accepted)
{
	if
	:: !(orders[s].awaited && phase == ORDERED) -> skip
	:: orders[s].awaited && phase == ORDERED && accepted -> phase = CONFIRMED
	:: orders[s].awaited && phase == ORDERED && !accepted ->
		if
		:: tries > 1 && !(FINAL_REFUSAL) -> start_unsure()
		:: else -> lose_run()
		fi
	fi
}

/* A hold with the leader's token; its answer lists what runs and what has ended. */
inline hold(v)
{
	vms[v].fence = term;
	vms[v].lapsed = false;
	if
	:: true -> skip /* the answer is lost */
	:: status == ASSIGNED && at == v && at_life == vms[v].life && vms[v].done == number ->
		status = DONE;
		vms[v].done = 0;
		forget_answers()
	:: status == ASSIGNED && at == v && at_life == vms[v].life && vms[v].running == number ->
		phase = CONFIRMED
	:: status == ASSIGNED && at == v && at_life == vms[v].life && vms[v].running != number &&
	   vms[v].done != number ->
		if
		:: phase == INHERITED || phase == CONFIRMED -> lose_run()
		:: phase == ORDERED -> skip
		:: phase == UNSURE && stop_acked -> lose_run()
		:: phase == UNSURE && !stop_acked -> skip
		fi
	fi
}

inline clear(place)
{
	orders[place].kind = FREE;
	orders[place].vm = 0;
	orders[place].life = 0;
	orders[place].number = 0;
	orders[place].fence = 0;
	orders[place].awaited = false;
	orders[place].expired = false
}

inline deliver(s)
{
	v = orders[s].vm;
	if
	:: orders[s].life != vms[v].life && !(NO_LIFE_GUARD) -> skip
	:: else ->
		if
		:: orders[s].kind == START ->
			vm_start(v, s, accepted);
			start_answered(s, accepted)
		:: orders[s].kind == STOP ->
			vm_stop(v, s);
			if
			:: orders[s].awaited && phase == UNSURE -> stop_acked = true
			:: else -> skip
			fi
		fi
	fi;
	clear(s)
}

inline pick_free(slot)
{
	if
	:: orders[0].kind == FREE -> slot = 0
	:: orders[0].kind != FREE && orders[1].kind == FREE -> slot = 1
	:: orders[0].kind != FREE && orders[1].kind != FREE && orders[2].kind == FREE -> slot = 2
	:: else -> slot = SLOTS
	fi
}

/* Used within one step only. */
hidden byte v;
hidden byte s;
hidden byte slot;
hidden byte accepted;

active proctype system()
{
	do
	/* The leader records an intent, then sends the order. */
	:: atomic {
		status == WAITING && number < RUNS ->
		pick_free(slot);
		if
		:: slot < SLOTS ->
			if
			:: !vms[0].cut -> v = 0
			:: !vms[1].cut -> v = 1
			fi;
			number++;
			status = ASSIGNED;
			at = v;
			at_life = vms[v].life;
			phase = ORDERED;
			tries = 1;
			send_order(START, v, at_life, number, term, slot)
		:: else -> skip
		fi
	   }
	/* No answer in time: the start is repeated, or the run is stopped. */
	:: atomic {
		status == ASSIGNED && phase == ORDERED ->
		forget_answers();
		pick_free(slot);
		if
		:: tries < TRIES && slot < SLOTS ->
			tries++;
			send_order(START, at, at_life, number, term, slot)
		:: else -> start_unsure()
		fi
	   }
	:: atomic {
		status == ASSIGNED && phase == UNSURE && !stop_acked ->
		pick_free(slot);
		if
		:: slot < SLOTS -> send_order(STOP, at, at_life, number, term, slot)
		:: else -> skip
		fi
	   }
	/* An order arrives. */
	:: atomic { orders[0].kind != FREE && !vms[orders[0].vm].cut -> deliver(0) }
	:: atomic { orders[1].kind != FREE && !vms[orders[1].vm].cut -> deliver(1) }
	:: atomic { orders[2].kind != FREE && !vms[orders[2].vm].cut -> deliver(2) }
	/* Holds. */
	:: atomic { !vms[0].cut && vms[0].fence <= term -> hold(0) }
	:: atomic { !vms[1].cut && vms[1].fence <= term -> hold(1) }
	/* A run ends. */
	:: atomic {
		vms[0].running != 0 ->
		vms[0].done = vms[0].running;
		vms[0].closed = vms[0].running;
		vms[0].running = 0
	   }
	:: atomic {
		vms[1].running != 0 ->
		vms[1].done = vms[1].running;
		vms[1].closed = vms[1].running;
		vms[1].running = 0
	   }
	/* A VM is cut off; its lease ends, and with it what runs there and what was ordered before;
	 * it comes back. */
	:: atomic { !cut_once -> cut_once = true; vms[0].cut = true }
	:: atomic {
		vms[0].cut && !vms[0].lapsed ->
		vms[0].lapsed = true;
		if
		:: vms[0].running != 0 ->
			vms[0].closed = vms[0].running;
			vms[0].running = 0
		:: else -> skip
		fi;
		s = 0;
		do
		:: s < SLOTS ->
			if
			:: orders[s].vm == 0 -> orders[s].expired = true
			:: else -> skip
			fi;
			s++
		:: else -> break
		od;
		s = 0
	   }
	:: atomic { vms[0].cut -> vms[0].cut = false }
	/* The leader takes the runs of a silent VM for lost once the lease has ended. */
	:: atomic {
		status == ASSIGNED && at == 0 && vms[0].cut && LEASE_HAS_ENDED -> lose_run()
	   }
	/* A VM crashes and comes back under its id. */
	:: atomic {
		!crashed ->
		crashed = true;
		vms[1].life++;
		vms[1].fence = 0;
		vms[1].running = 0;
		vms[1].closed = 0;
		vms[1].done = 0
	   }
	:: atomic { status == ASSIGNED && at == 1 && at_life != vms[1].life -> lose_run() }
	/* Another process leads. The orders of the deposed one stay on their way. */
	:: atomic {
		term < TERMS ->
		term++;
		forget_answers();
		stop_acked = false;
		tries = 0;
		if
		:: status == ASSIGNED ->
#ifdef NO_HOLD_BEFORE_LOSS
			lose_run()
#else
			phase = INHERITED
#endif
		:: else -> skip
		fi
	   }
#ifdef NO_STOP_BEFORE_LOSS
	:: atomic { status == ASSIGNED && phase == UNSURE -> lose_run() }
#endif
	:: atomic { status == DONE || number == RUNS -> break }
	od
}
