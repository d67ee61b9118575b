#pragma once

#include <stdint.h>

#include <glib.h>

#include "peer.pb-c.h"
#include "vm_port.h"

/**
 * @file
 * Cache of the latest report of each VM, kept by every core process. The leader sends the reports
 * that it receives to the others, so that a new leader knows the fleet at once instead of waiting
 * for the VMs' next reports.
 */

typedef struct {
	GHashTable *reports; /**< VM id -> report and time of its arrival */
	/** Elements: Lp__VmReportCopy, not yet sent to the other core processes. */
	GPtrArray *unsent;
} vm_cache_t;

/**
 * Receives a VM report.
 * @param report valid only while the function runs
 * @param received_us time of arrival, on the monotonic clock
 */
typedef void (*vm_report_fn)(void *arg, const vm_report_t *report, uint64_t received_us);

void vm_cache_init(vm_cache_t *cache);
void vm_cache_finish(vm_cache_t *cache);
/**
 * Stores a VM's report and adds it to the unsent ones. Does nothing if the stored report of the VM
 * is as new or newer.
 */
void vm_cache_add(vm_cache_t *cache, const vm_report_t *report, uint64_t now_us);
/** Stores the reports of a message from the leader that are newer than the stored ones. */
void vm_cache_merge(vm_cache_t *cache, const Lp__VmReportCopies *copies, uint64_t now_us);
void vm_cache_remove(vm_cache_t *cache, const char *vm);
/**
 * Fills message with the reports added since the last call of vm_cache_mark_sent().
 * @param message filled with reports that belong to the cache, valid until the cache changes
 */
void vm_cache_get_unsent(vm_cache_t *cache, Lp__VmReportCopies *message);
/** Marks all reports as sent, which invalidates the message of vm_cache_get_unsent(). */
void vm_cache_mark_sent(vm_cache_t *cache);
/** Calls fn for each report received at most age_max_us ago, that of the latest start first. */
void vm_cache_foreach(const vm_cache_t *cache, uint64_t now_us, uint64_t age_max_us,
		      vm_report_fn fn, void *arg);

/** Fills copy from report. The strings are not copied: copy points to those of report. */
void vm_report_to_message(Lp__VmReportCopy *copy, const vm_report_t *report);
/** Fills report from copy. The strings are not copied: report points to those of copy. */
void vm_report_from_message(const Lp__VmReportCopy *copy, vm_report_t *report);
/** Calls fn for each report of a message, with now_us as the time of arrival. */
void vm_report_message_foreach(const Lp__VmReportCopies *copies, uint64_t now_us, vm_report_fn fn,
			       void *arg);
