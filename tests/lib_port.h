#pragma once

#include <stdint.h>

/**
 * Finds an unused TCP port on 127.0.0.1. A fixed port would not do: servers listen with
 * SO_REUSEPORT, so two test runs at the same time would receive each other's requests.
 * @return the port, or 0 if there is none
 */
uint16_t lib_port_find_unused(void);
