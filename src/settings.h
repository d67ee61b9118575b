#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * @file
 * Settings of an entry process, read from a YAML file. An unknown key or a wrong value is an error
 * whose message names the file, line, key and what was expected.
 */

typedef struct {
	uint32_t node;
	char *address; /**< IP:port on which it accepts peer connections */
	char *data_centre;
} settings_peer_t;

typedef struct {
	uint32_t heartbeat_ms; /**< interval of the leader's heartbeats; default 200 */
	uint32_t election_ms; /**< shortest election timeout, the longest is twice this; default 800
			       */
	uint32_t lease_ms;    /**< leader lease; default 600; below election_ms */
	uint32_t routing_lease_ms; /**< a target gets requests for this long after its last
				      announcement; default 4,000 */
	uint32_t lost_ms; /**< a target that has not announced itself for this long is lost; default
			     10,000; above routing_lease_ms */
	uint32_t planner_ms;	  /**< period of the planner; default 1,000 */
	uint32_t ping_ms;	  /**< period of pings between peers; default 500 */
	uint32_t peer_timeout_ms; /**< a peer that is silent for this long is reconnected; default
				     2,000; above ping_ms */
	uint32_t drain_grace_ms; /**< longest wait on SIGTERM for requests in flight; default 30,000
				  */
} settings_timing_t;

typedef struct {
	uint32_t body_bytes;	    /**< largest request body; default 1 MiB */
	uint32_t connections;	    /**< connections per I/O thread; default 1,024 */
	uint32_t snapshot_entries;  /**< applied log entries between snapshots; default 2,000 */
	uint32_t claim_retention_s; /**< how long idempotency keys are remembered; default 86,400 */
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
	char *listen_http;    /**< IP:port for requests, announcements and operators */
	char *listen_peer;    /**< IP:port for peer connections */
	char *advertise_http; /**< IP:port of the HTTP listener as told to peers; default
				 listen_http */
	char *data_dir;	      /**< data directory, or NULL when this VM has no disk */
	uint32_t *voters;     /**< node ids of the founding voters */
	unsigned voters_count;
	settings_peer_t *peers; /**< entry processes; may include this one */
	unsigned peers_count;
	uint32_t threads; /**< I/O threads; default 2 */
	char *platform;	  /**< base URL of the platform's API; NULL: no VM is drained or rebooted */
	char *token_file; /**< path of a file with one "role token" per line, or NULL: the
			     administration API is open on a loopback listener only */
	settings_log_format_t log_format;
	bool log_debug; /**< also log debug messages */
	settings_timing_t timing;
	settings_limits_t limits;
} settings_t;

/**
 * Reads and checks a settings file.
 * @param error message with file, line, key and what was expected
 * @return 0, or -1; then *settings needs no settings_finish()
 */
int settings_load(settings_t *settings, const char *file, char *error, size_t error_size);
void settings_finish(settings_t *settings);

/**
 * Splits "IP:port"; an IPv6 address is in brackets.
 * @return 0, or -1 when malformed
 */
int settings_split_address(const char *address, char *ip, size_t ip_size, uint16_t *port);
