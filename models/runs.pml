/*
 * Models which VM owns the run of one task: start intents in the log, VM requests that are repeated
 * or carried out late, fencing tokens, stops, hold requests, leases, VM incarnations, and requests
 * sent by a former leader. It abstracts batch_orders.c, batch_hold.c and batch_dispatch.c; the log
 * itself is modelled by models/raft.pml.
 *
 * Properties: two runs of the task never run at the same time, and none starts once a successful
 * end is committed.
 *
 * Each variant leaves out the rule named here, without which a property is violated:
 *   NO_FENCE                       a VM rejects starts with an older fencing token than it has seen
 *   NO_HOLD_BEFORE_LOSS            a new leader declares a run lost only after a hold request
 *   NO_STOP_BEFORE_LOSS            a run whose start is unanswered is lost only after a stop
 *   REFUSAL_AFTER_REPEAT_IS_FINAL  a refusal of a repeated start does not prove that none ran
 *   NO_LEASE_WAIT                  the run of an unresponsive VM is lost only after its lease
 *   NO_LIFE_CHECK                  a VM rejects requests for another incarnation
 *   NO_RUN_CHECK                   a VM rejects starts of runs that were stopped or have ended
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
#define START_ATTEMPTS 2
#define TERMS 2

/* Status of the task. */
#define WAITING 0
#define ASSIGNED 1
#define DONE 2

/* State of the latest run, as far as the leader knows. */
#define INHERITED 0        /* the run was started by an earlier leader */
#define START_SENT 1       /* the start request has no response yet */
#define CONFIRMED 2        /* the VM reported the run as running */
#define START_UNANSWERED 3 /* unknown whether the run is running; the leader stops it */

/* Kinds of VM requests. */
#define FREE 0 /* unused slot */
#define START 1
#define STOP 2

#ifdef NO_FENCE
#define SKIP_FENCE_CHECK true
#else
#define SKIP_FENCE_CHECK false
#endif
#ifdef NO_RUN_CHECK
#define SKIP_CLOSED_CHECK true
#else
#define SKIP_CLOSED_CHECK false
#endif
#ifdef REFUSAL_AFTER_REPEAT_IS_FINAL
#define REFUSAL_IS_FINAL true
#else
#define REFUSAL_IS_FINAL false
#endif
#ifdef NO_LEASE_WAIT
#define LEASE_HAS_ENDED true
#else
#define LEASE_HAS_ENDED vms[0].lease_ended
#endif
#ifdef NO_LIFE_CHECK
#define SKIP_INCARNATION_CHECK true
#else
#define SKIP_INCARNATION_CHECK false
#endif

/* A VM request in transit. It can be delivered at any time, which covers late and reordered
 * requests. A request that is never delivered is lost. */
typedef request_t {
	byte kind;
	byte vm;
	byte incarnation;       /* incarnation of the VM that the request is meant for */
	byte run_number;
	byte fence;             /* fencing token of the sender */
	bool awaiting_response; /* whether the leader still waits for the response */
	bool lease_expired;     /* whether the lease that the request carries has ended */
};

typedef vm_t {
	byte incarnation;
	byte fence;        /* highest fencing token that the VM has seen */
	byte active_run;   /* number of the run in progress; 0: none */
	byte last_closed;  /* highest number of a run that was stopped or has ended */
	byte finished_run; /* finished run that the responses to hold requests list; 0: none */
	bool disconnected; /* whether the VM receives no requests */
	bool lease_ended;  /* whether the VM's lease ended while it was disconnected */
};

request_t requests[SLOTS];
vm_t vms[VMS];

/* State of the task in the replicated log. */
byte task_status = WAITING;
byte run_number = 0;           /* number of the latest run */
byte assigned_vm = 0;          /* VM of the latest run */
byte assigned_incarnation = 0; /* incarnation of that VM */

/* State of the leader; the fencing token is its term. */
byte term = 1;
byte run_state = INHERITED;
byte start_attempts = 0;
bool stop_acked = false;

bool vm_crashed = false;
bool was_disconnected = false;

inline send_request(new_kind, to_vm, to_incarnation, for_run, token, slot)
{
	requests[slot].kind = new_kind;
	requests[slot].vm = to_vm;
	requests[slot].incarnation = to_incarnation;
	requests[slot].run_number = for_run;
	requests[slot].fence = token;
	requests[slot].awaiting_response = true;
	requests[slot].lease_expired = false;
	/* A start request carries a new lease, so the leader must also wait for the end of that
	 * lease. */
	if
	:: new_kind == START -> vms[to_vm].lease_ended = false
	:: else -> skip
	fi
}

/* Makes the leader ignore responses to requests of earlier runs or leaders. */
inline ignore_responses()
{
	requests[0].awaiting_response = false;
	requests[1].awaiting_response = false;
	requests[2].awaiting_response = false;
}

/* Commits that the run is lost, because it certainly does not run any more. The task then waits to
 * be placed again. */
inline declare_run_lost()
{
	task_status = WAITING;
	run_state = INHERITED;
	start_attempts = 0;
	stop_acked = false;
	ignore_responses();
}

inline begin_stop()
{
	run_state = START_UNANSWERED;
	stop_acked = false;
}

/* A VM handles a start request and responds with `accepted`. */
inline vm_start(v, s, accepted)
{
	accepted = false;
	if
	:: requests[s].fence < vms[v].fence && !(SKIP_FENCE_CHECK) -> skip
	:: else ->
		if
		:: requests[s].fence > vms[v].fence -> vms[v].fence = requests[s].fence
		:: else -> skip
		fi;
		if
		:: vms[v].active_run == requests[s].run_number -> accepted = true
		:: vms[v].active_run != requests[s].run_number &&
		   requests[s].run_number <= vms[v].last_closed && !(SKIP_CLOSED_CHECK) -> skip
		:: vms[v].active_run != requests[s].run_number && requests[s].lease_expired -> skip
		:: vms[v].active_run != requests[s].run_number && !requests[s].lease_expired &&
		   (requests[s].run_number > vms[v].last_closed || SKIP_CLOSED_CHECK) ->
			if
			:: true ->
				/* The properties of the model. */
				assert(vms[0].active_run == 0 && vms[1].active_run == 0);
				assert(task_status != DONE);
				vms[v].active_run = requests[s].run_number;
				accepted = true
			:: true -> skip /* the VM has not enough capacity or is unhealthy */
			fi
		fi
	fi
}

inline vm_stop(v, s)
{
	if
	:: requests[s].fence < vms[v].fence -> skip
	:: else ->
		vms[v].fence = requests[s].fence;
		if
		:: requests[s].run_number > vms[v].last_closed -> vms[v].last_closed = requests[s].run_number
		:: else -> skip
		fi;
		if
		:: vms[v].active_run != 0 && vms[v].active_run <= requests[s].run_number -> vms[v].active_run = 0
		:: else -> skip
		fi
	fi
}

inline handle_start_response(s, accepted)
{
	if
	:: !(requests[s].awaiting_response && run_state == START_SENT) -> skip
	:: requests[s].awaiting_response && run_state == START_SENT && accepted -> run_state = CONFIRMED
	:: requests[s].awaiting_response && run_state == START_SENT && !accepted ->
		if
		:: start_attempts > 1 && !(REFUSAL_IS_FINAL) -> begin_stop()
		:: else -> declare_run_lost()
		fi
	fi
}

/* The leader sends a hold request with its fencing token; the response lists the running and the
 * finished run. */
inline handle_hold(v)
{
	vms[v].fence = term;
	vms[v].lease_ended = false;
	if
	:: true -> skip /* the response is lost */
	:: task_status == ASSIGNED && assigned_vm == v &&
	   assigned_incarnation == vms[v].incarnation && vms[v].finished_run == run_number ->
		task_status = DONE;
		vms[v].finished_run = 0;
		ignore_responses()
	:: task_status == ASSIGNED && assigned_vm == v &&
	   assigned_incarnation == vms[v].incarnation && vms[v].active_run == run_number ->
		run_state = CONFIRMED
	:: task_status == ASSIGNED && assigned_vm == v &&
	   assigned_incarnation == vms[v].incarnation && vms[v].active_run != run_number &&
	   vms[v].finished_run != run_number ->
		if
		:: run_state == INHERITED || run_state == CONFIRMED -> declare_run_lost()
		:: run_state == START_SENT -> skip
		:: run_state == START_UNANSWERED && stop_acked -> declare_run_lost()
		:: run_state == START_UNANSWERED && !stop_acked -> skip
		fi
	fi
}

inline free_slot(index)
{
	requests[index].kind = FREE;
	requests[index].vm = 0;
	requests[index].incarnation = 0;
	requests[index].run_number = 0;
	requests[index].fence = 0;
	requests[index].awaiting_response = false;
	requests[index].lease_expired = false
}

/* Delivers a request to its VM, which handles it only if the request is for its incarnation. */
inline deliver(s)
{
	v = requests[s].vm;
	if
	:: requests[s].incarnation != vms[v].incarnation && !(SKIP_INCARNATION_CHECK) -> skip
	:: else ->
		if
		:: requests[s].kind == START ->
			vm_start(v, s, accepted);
			handle_start_response(s, accepted)
		:: requests[s].kind == STOP ->
			vm_stop(v, s);
			if
			:: requests[s].awaiting_response && run_state == START_UNANSWERED -> stop_acked = true
			:: else -> skip
			fi
		fi
	fi;
	free_slot(s)
}

inline find_free_slot(slot)
{
	if
	:: requests[0].kind == FREE -> slot = 0
	:: requests[0].kind != FREE && requests[1].kind == FREE -> slot = 1
	:: requests[0].kind != FREE && requests[1].kind != FREE && requests[2].kind == FREE -> slot = 2
	:: else -> slot = SLOTS
	fi
}

/* Temporaries of one step: a VM, indices of requests, and the response to a start request. */
hidden byte v;
hidden byte s;
hidden byte slot;
hidden byte accepted;

active proctype system()
{
	do
	/* The leader commits a start intent and then sends the start request. */
	:: atomic {
		task_status == WAITING && run_number < RUNS ->
		find_free_slot(slot);
		if
		:: slot < SLOTS ->
			if
			:: !vms[0].disconnected -> v = 0
			:: !vms[1].disconnected -> v = 1
			fi;
			run_number++;
			task_status = ASSIGNED;
			assigned_vm = v;
			assigned_incarnation = vms[v].incarnation;
			run_state = START_SENT;
			start_attempts = 1;
			send_request(START, v, assigned_incarnation, run_number, term, slot)
		:: else -> skip
		fi
	   }
	/* A start request gets no response in time: it is sent again, or the run is stopped. */
	:: atomic {
		task_status == ASSIGNED && run_state == START_SENT ->
		ignore_responses();
		find_free_slot(slot);
		if
		:: start_attempts < START_ATTEMPTS && slot < SLOTS ->
			start_attempts++;
			send_request(START, assigned_vm, assigned_incarnation, run_number, term, slot)
		:: else -> begin_stop()
		fi
	   }
	:: atomic {
		task_status == ASSIGNED && run_state == START_UNANSWERED && !stop_acked ->
		find_free_slot(slot);
		if
		:: slot < SLOTS -> send_request(STOP, assigned_vm, assigned_incarnation, run_number, term, slot)
		:: else -> skip
		fi
	   }
	/* A request is delivered. */
	:: atomic { requests[0].kind != FREE && !vms[requests[0].vm].disconnected -> deliver(0) }
	:: atomic { requests[1].kind != FREE && !vms[requests[1].vm].disconnected -> deliver(1) }
	:: atomic { requests[2].kind != FREE && !vms[requests[2].vm].disconnected -> deliver(2) }
	/* The leader sends a hold request. */
	:: atomic { !vms[0].disconnected && vms[0].fence <= term -> handle_hold(0) }
	:: atomic { !vms[1].disconnected && vms[1].fence <= term -> handle_hold(1) }
	/* A run finishes on its VM. */
	:: atomic {
		vms[0].active_run != 0 ->
		vms[0].finished_run = vms[0].active_run;
		vms[0].last_closed = vms[0].active_run;
		vms[0].active_run = 0
	   }
	:: atomic {
		vms[1].active_run != 0 ->
		vms[1].finished_run = vms[1].active_run;
		vms[1].last_closed = vms[1].active_run;
		vms[1].active_run = 0
	   }
	/* A VM is disconnected. Its lease ends, so it stops its run and will not carry out start
	 * requests that were sent before. Then it reconnects. */
	:: atomic { !was_disconnected -> was_disconnected = true; vms[0].disconnected = true }
	:: atomic {
		vms[0].disconnected && !vms[0].lease_ended ->
		vms[0].lease_ended = true;
		if
		:: vms[0].active_run != 0 ->
			vms[0].last_closed = vms[0].active_run;
			vms[0].active_run = 0
		:: else -> skip
		fi;
		s = 0;
		do
		:: s < SLOTS ->
			if
			:: requests[s].vm == 0 -> requests[s].lease_expired = true
			:: else -> skip
			fi;
			s++
		:: else -> break
		od;
		s = 0
	   }
	:: atomic { vms[0].disconnected -> vms[0].disconnected = false }
	/* The run of an unresponsive VM is lost after its lease has ended. */
	:: atomic {
		task_status == ASSIGNED && assigned_vm == 0 && vms[0].disconnected && LEASE_HAS_ENDED ->
		declare_run_lost()
	   }
	/* A VM crashes and returns under the same id as a new incarnation. */
	:: atomic {
		!vm_crashed ->
		vm_crashed = true;
		vms[1].incarnation++;
		vms[1].fence = 0;
		vms[1].active_run = 0;
		vms[1].last_closed = 0;
		vms[1].finished_run = 0
	   }
	:: atomic {
		task_status == ASSIGNED && assigned_vm == 1 &&
		assigned_incarnation != vms[1].incarnation -> declare_run_lost()
	   }
	/* Another process becomes the leader. Requests that the former leader sent are still in
	 * transit. */
	:: atomic {
		term < TERMS ->
		term++;
		ignore_responses();
		stop_acked = false;
		start_attempts = 0;
		if
		:: task_status == ASSIGNED ->
#ifdef NO_HOLD_BEFORE_LOSS
			declare_run_lost()
#else
			run_state = INHERITED
#endif
		:: else -> skip
		fi
	   }
#ifdef NO_STOP_BEFORE_LOSS
	:: atomic { task_status == ASSIGNED && run_state == START_UNANSWERED -> declare_run_lost() }
#endif
	:: atomic { task_status == DONE || run_number == RUNS -> break }
	od
}
