#pragma once

#include "batch_leader_internal.h"

/**
 * @file
 * Tasks that crash the VMs that start them. A run is recently started until its VM is known to have
 * been up for some time after the start. When a VM crashes, its recently started runs are suspected
 * of the crash; batch_state counts these crashes for each task. A suspected task is placed on a VM
 * without recently started runs of other jobs, so that a further crash of a VM shows the cause, and
 * no other job is placed there until the suspected run is no longer recently started.
 */

/** Time of a VM's clock for which a run must have been running to count as proven, in ms. */
#define SUSPECT_PROOF_MS 100

/** True when the task's run did not start, or its VM was up for SUSPECT_PROOF_MS after the start.
 */
bool suspect_run_proven(const leader_vm_t *vm, const batch_task_t *task);
/**
 * Judges a run that is lost with its VM. @param crashed the VM has certainly ended; false: it was
 * silent until its lease expired
 */
Lp__BatchCrash suspect_judge(leader_vm_t *vm, const batch_task_t *task, bool crashed);
/** Logs and counts the VM's crash, if it has recently started runs. */
void suspect_log_crash(leader_vm_t *vm);
/** Logs and counts that the job was given up. */
void suspect_log_given_up(batch_leader_t *leader, const batch_job_t *job);
/** Notes the reply to a start request that was sent at sent_us. */
void suspect_start_replied(leader_vm_t *vm, batch_task_t *task, const vm_reply_t *reply,
			   uint64_t sent_us);

/** Notes a hold request, sent at sent_us with a wait time of wait_ms, that got no usable response.
 */
void suspect_hold_failed(leader_vm_t *vm, vm_reply_code_t code, uint64_t sent_us, uint32_t wait_ms);

/** Updates which jobs have recently started or planned runs on the VM. */
void suspect_scan_vm(leader_vm_t *vm);
/** Adds a planned run of the task to what suspect_scan_vm() has found. */
void suspect_run_planned(leader_vm_t *vm, const batch_task_t *task);
/**
 * True when a run of the step may be started on the VM. @param isolate the VM must have no recently
 * started runs of other jobs
 */
bool suspect_vm_open(const leader_vm_t *vm, const batch_step_t *step, bool isolate,
		     uint64_t now_us);
/** True when waiting tasks of the step are suspected of having crashed a VM. */
bool suspect_step(const batch_step_t *step);
/** True while the suspected step waits for a VM without recently started runs of other jobs. */
bool suspect_isolates(const batch_step_t *step, uint64_t now_us);
/**
 * Updates the wait of a suspected step after an attempt to place it. If no task of it was placed,
 * reserves the least used of the count VMs for the step. @param used share of each VM's CPU in use;
 * above 1: the VM cannot run the step
 */
void suspect_step_attempted(batch_step_t *step, bool placed, leader_vm_t **vms, const double *used,
			    size_t count, uint64_t now_us);
