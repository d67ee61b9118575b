#pragma once

#include <stdint.h>

/**
 * A free TCP port on 127.0.0.1. Servers share ports through SO_REUSEPORT, so fixed ports would mix
 * the requests of two test runs.
 */
uint16_t lib_port_free(void);
