#pragma once

#include <stdint.h>

/**
 * @file
 * Clocks. Modules that make decisions do not read a clock; their callers pass the time as an
 * argument.
 */

#define US_PER_MS 1000ULL
#define US_PER_S 1000000ULL

/**
 * Returns the monotonic time in microseconds. It includes time in suspend (CLOCK_BOOTTIME), so that
 * leases also expire while a VM is suspended.
 */
uint64_t clock_now_us(void);

/** Returns the wall-clock time in milliseconds since 1970; used only for display and maintenance
 * windows. */
uint64_t clock_wall_ms(void);
