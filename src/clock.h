#pragma once

#include <stdint.h>

/**
 * @file
 * Clocks. Modules that make decisions do not read them; their callers pass the time as an argument.
 */

#define US_PER_MS 1000ULL
#define US_PER_S 1000000ULL

/**
 * Monotonic time in microseconds. It includes time in suspend (CLOCK_BOOTTIME), so that leases
 * expire while a VM is suspended.
 */
uint64_t clock_now_us(void);

/** Wall-clock time in milliseconds since 1970; only for display and maintenance windows. */
uint64_t clock_wall_ms(void);
