#pragma once

#include <stdint.h>

/**
 * @file
 * Time. Decision modules never read a clock; they get the time as an argument.
 */

#define US_PER_MS 1000ULL
#define US_PER_S 1000000ULL

/**
 * Monotonic time in microseconds. It counts suspended time too (CLOCK_BOOTTIME), so that leases
 * run out while a VM is suspended.
 */
uint64_t clock_now_us(void);

/** Wall-clock time in milliseconds since 1970; for display and maintenance windows only. */
uint64_t clock_wall_ms(void);
