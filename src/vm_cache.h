#pragma once

#include <stdint.h>

#include <glib.h>

#include "peer.pb-c.h"
#include "vm_port.h"

/**
 * @file
 * The latest report of each VM, kept by every member of the log. The leader passes the reports that
 * it receives on to the others, so that a new leader knows the fleet at once instead of after the
 * VMs' next reports.
 */

typedef struct {
	GHashTable *reports; /**< id -> cached report */
	GPtrArray *fresh;    /**< Lp__VmReportCopy that were not passed on yet */
} vm_cache_t;

typedef void (*vm_report_fn)(void *arg, const vm_report_t *report, uint64_t heard_us);

void vm_cache_init(vm_cache_t *cache);
void vm_cache_finish(vm_cache_t *cache);
/** Keeps a report that this process received itself. */
void vm_cache_add(vm_cache_t *cache, const vm_report_t *report, uint64_t now_us);
/** Keeps reports that the leader passed on. */
void vm_cache_merge(vm_cache_t *cache, const Lp__VmReportCopies *copies, uint64_t now_us);
void vm_cache_remove(vm_cache_t *cache, const char *vm);
/** Fills message with the reports added since the last call of vm_cache_mark_sent(). */
void vm_cache_get_unsent(vm_cache_t *cache, Lp__VmReportCopies *message);
void vm_cache_mark_sent(vm_cache_t *cache);
/** Calls fn for each report that is at most age_max_us old; heard_us is when it was received. */
void vm_cache_foreach(const vm_cache_t *cache, uint64_t now_us, uint64_t age_max_us,
		      vm_report_fn fn, void *arg);

/** Fills a copy that points into the report. */
void vm_report_to_message(Lp__VmReportCopy *copy, const vm_report_t *report);
/** Calls fn for each report of a message, as heard now. */
void vm_report_message_foreach(const Lp__VmReportCopies *copies, uint64_t now_us, vm_report_fn fn,
			       void *arg);
