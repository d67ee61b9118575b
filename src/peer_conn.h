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
 * A non-blocking TCP connection that carries frames; used by peer.c for dialled and accepted
 * connections.
 */

struct tevent_context;
struct tevent_fd;

/** Maximum number of bytes queued on a connection. Further messages are dropped, so that a peer
 * that reads too slowly cannot use up the memory. */
#define PEER_QUEUE_BYTES (4U << 20)

struct peer_conn;
typedef struct peer_conn peer_conn_t;

typedef enum {
	PEER_CONN_DISCONNECTED, /**< end of stream or socket error */
	PEER_CONN_INVALID_FRAME /**< the peer sent an invalid frame */
} peer_conn_close_reason_t;

typedef struct {
	/** Called with each received message. May free the connection. */
	void (*on_frame)(peer_conn_t *conn, const Lp__Envelope *envelope);
	/** Called once when the connection has ended. Must free the connection. */
	void (*on_closed)(peer_conn_t *conn, peer_conn_close_reason_t reason);
} peer_conn_callbacks_t;

struct peer_conn {
	struct tevent_context *ev;
	struct tevent_fd *fd_event;
	int fd;
	bool connecting;
	frame_decoder_t decoder;
	GByteArray *send_queue;
	size_t send_offset; /**< number of bytes of send_queue that were sent already */
	const peer_conn_callbacks_t *callbacks;
	void *owner; /**< data of the owner for its callbacks; the connection does not use it */
	peer_counters_t *counters;
	bool *freed_flag; /**< set to true if the connection is freed during a callback; NULL when
			     no callback runs */
};

/**
 * Starts to connect to an address of the form IP:port.
 * @param timeout_ms time after which the kernel closes the connection if sent data is not
 * acknowledged
 * @return the connection, or NULL with errno set
 */
peer_conn_t *peer_conn_dial(void *parent, struct tevent_context *ev, const char *address,
			    uint32_t timeout_ms, const peer_conn_callbacks_t *callbacks,
			    peer_counters_t *counters, void *owner);
/** Creates a connection from an accepted socket. The connection owns the socket from then on. */
peer_conn_t *peer_conn_accepted(void *parent, struct tevent_context *ev, int fd,
				uint32_t timeout_ms, const peer_conn_callbacks_t *callbacks,
				peer_counters_t *counters, void *owner);
/** Closes the connection; queued messages that are not sent yet are lost. */
void peer_conn_free(peer_conn_t *conn);

/**
 * Sends what is queued if the socket is writable, and otherwise reads if it is readable. May free
 * the connection through its callbacks. Does nothing while one of its messages is being handled.
 */
void peer_conn_handle_ready(peer_conn_t *conn, bool readable, bool writable);
/** True when bytes, the end of the stream or the outcome of connecting wait to be handled. */
bool peer_conn_has_input(const peer_conn_t *conn);
/** True when queued bytes wait to be sent. */
bool peer_conn_has_queued(const peer_conn_t *conn);

/** Queues a message. @return 0, or -1 when the queue is full or the message too large */
int peer_conn_send(peer_conn_t *conn, const Lp__Envelope *envelope);

/** Sends the queued messages at once, as far as the socket takes them. Does not free the
 * connection. */
void peer_conn_flush(peer_conn_t *conn);

/** Listens on an address of the form IP:port. @return a non-blocking socket, or -1 with errno set
 */
int peer_conn_listen(const char *address);
