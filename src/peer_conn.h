#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>

#include <glib.h>

#include "frame.h"
#include "peer.h"

/**
 * @file
 * One non-blocking TCP connection that carries frames; used by peer.c for both directions.
 */

struct tevent_context;
struct tevent_fd;

/** A peer that reads more slowly than messages are queued loses its connection's messages. */
#define PEER_QUEUE_BYTES (4U << 20)

struct peer_conn;
typedef struct peer_conn peer_conn_t;

typedef enum {
	PEER_CONN_CLOSED,   /**< end of stream or an error of the socket */
	PEER_CONN_BAD_FRAME /**< the peer sent what is not a frame */
} peer_conn_end_t;

typedef struct {
	/** May free the connection. */
	void (*frame)(peer_conn_t *conn, const Lp__Envelope *envelope);
	/** Must free the connection. */
	void (*ended)(peer_conn_t *conn, peer_conn_end_t end);
} peer_conn_callbacks_t;

struct peer_conn {
	struct tevent_context *ev;
	struct tevent_fd *watch;
	int fd;
	bool connecting;
	frame_decoder_t decoder;
	GByteArray *out;
	size_t out_start;
	const peer_conn_callbacks_t *callbacks;
	void *owner; /**< set by the user of the connection */
	peer_counters_t *counters;
	bool *freed; /**< points to a flag while a callback runs */
};

/** Starts to connect. @return the connection, or NULL (errno is set) */
peer_conn_t *peer_conn_dial(void *parent, struct tevent_context *ev, const char *address,
			    uint32_t timeout_ms, const peer_conn_callbacks_t *callbacks,
			    peer_counters_t *counters, void *owner);
/** Takes over an accepted socket. @return the connection, or NULL (the socket is closed) */
peer_conn_t *peer_conn_accepted(void *parent, struct tevent_context *ev, int fd,
				uint32_t timeout_ms, const peer_conn_callbacks_t *callbacks,
				peer_counters_t *counters, void *owner);
/** Closes the connection; what is still queued is lost. */
void peer_conn_free(peer_conn_t *conn);

/** @return 0, or -1 when the queue is full or the message too large */
int peer_conn_send(peer_conn_t *conn, const Lp__Envelope *envelope);

/** Listens on IP:port. @return a non-blocking socket, or -1 (errno is set) */
int peer_conn_listen(const char *address);
