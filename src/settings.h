#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * @file
 * Settings of an entry process, read from a YAML file. An unknown key or an invalid value is an
 * error; its message names the file, the line, the key and the expected values.
 */

typedef struct {
	uint32_t node;
	char *address; /**< IP:port on which this entry process accepts peer connections */
	char *data_centre;
} settings_peer_t;

typedef struct {
	uint32_t heartbeat_ms; /**< interval of the leader's heartbeats; default 200 */
	uint32_t election_ms;  /**< shortest election timeout; the longest is twice as long; default
				  800 */
	uint32_t lease_ms;     /**< duration of the leader lease; default 600; below election_ms */
	uint32_t routing_lease_ms; /**< time for which a target gets requests after its last
					announcement; default 4,000 */
	uint32_t lost_ms;    /**< time without an announcement after which a target counts as lost;
				  default 10,000; above routing_lease_ms */
	uint32_t planner_ms; /**< period at which the planner runs; default 1,000 */
	uint32_t ping_ms;    /**< period of pings between peers; default 500 */
	uint32_t peer_timeout_ms; /**< time without a pong after which a peer connection is
				     replaced; default 2,000; above ping_ms */
	uint32_t drain_grace_ms;  /**< maximum time to wait for requests in flight after SIGTERM;
				     default 30,000 */
} settings_timing_t;

typedef struct {
	uint32_t body_bytes;  /**< maximum size of a request body; default 1 MiB */
	uint32_t connections; /**< maximum number of connections per I/O thread; default 1,024 */
	uint32_t client_memory_mib; /**< memory that clients may make the process hold: open
				       connections, requests and replies; default 64. Each I/O
				       thread gets an equal part, but at least four times
				       body_bytes */
	uint32_t snapshot_entries;  /**< number of applied log entries between snapshots; default
				       2,000 */
	uint32_t claim_retention_s; /**< time for which idempotency keys are remembered; default
				       86,400 */
} settings_limits_t;

typedef enum {
	SETTINGS_LOG_TEXT,
	SETTINGS_LOG_JSON,
} settings_log_format_t;

typedef struct {
	char *file;    /**< path of the settings file */
	char *cluster; /**< name of the group of entry processes */
	uint32_t node;
	char *data_centre;
	char *listen_http; /**< IP:port of the listener for requests, announcements and operators */
	char *listen_peer; /**< IP:port of the listener for peer connections */
	char *advertise_http; /**< IP:port of the HTTP listener as announced to peers; default
				 listen_http */
	char *data_dir;	  /**< data directory, or NULL when this process stores nothing on disk */
	uint32_t *voters; /**< node ids of the founding voters */
	unsigned voters_count;
	settings_peer_t *peers; /**< node ids and addresses of the entry processes; may include this
				     one */
	unsigned peers_count;
	uint32_t threads; /**< number of I/O threads; default 2 */
	char *platform;	  /**< base URL of the platform's API, or NULL: then no VM is drained or
			     rebooted */
	char *token_file; /**< path of a file with one "role token" per line, or NULL: then the
			     administration API is open if the HTTP listener is on a loopback
			     address, and closed otherwise */
	settings_log_format_t log_format;
	bool log_debug; /**< whether debug messages are logged, too */
	settings_timing_t timing;
	settings_limits_t limits;
} settings_t;

/**
 * Reads and checks a settings file.
 * @param error on failure, set to a message with the file, the line, the key and the expected
 * values
 * @return 0, or -1 on failure; then settings_finish() is not needed
 */
int settings_load(settings_t *settings, const char *file, char *error, size_t error_size);
void settings_finish(settings_t *settings);

/**
 * Splits an address "IP:port"; an IPv6 address is in square brackets.
 * @return 0, or -1 when the address is malformed
 */
int settings_split_address(const char *address, char *ip, size_t ip_size, uint16_t *port);
