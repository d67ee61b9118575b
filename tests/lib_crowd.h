#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/**
 * @file
 * A crowd of HTTP clients that send large bodies at the same time. One in eight sends its whole
 * body; the others stop just short of the end and stay open.
 */

typedef enum {
	CROWD_WHOLE,	    /**< with Content-Length, as fast as the connection takes it */
	CROWD_PIECES,	    /**< with Content-Length, in pieces that alternate between clients */
	CROWD_LARGE_CHUNKS, /**< chunked, 16 KiB a chunk */
	CROWD_SMALL_CHUNKS, /**< chunked, 16 bytes a chunk */
	CROWD_KINDS,
} crowd_kind_t;

typedef struct {
	const char *ip;
	uint16_t port;
	const char *method;
	const char *path;
	crowd_kind_t kind;
	unsigned clients;
	size_t body_bytes;
} crowd_config_t;

struct crowd;
typedef struct crowd crowd_t;

/**
 * Connects the clients and sends until each has sent what it is going to, or was answered or cut
 * off. Ends the test after 60 s.
 */
crowd_t *crowd_start(const crowd_config_t *config);
/** Closes all connections. */
void crowd_finish(crowd_t *crowd);
const char *crowd_kind_name(crowd_kind_t kind);

/** @return the highest resident memory of the process so far, in MiB; -1: it has ended */
long crowd_peak_memory_mib(pid_t pid);
/** @return number of open descriptors of the process; -1: it has ended */
long crowd_descriptors(pid_t pid);
