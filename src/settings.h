#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * @file
 * Settings of an entry process, read from YAML. Unknown or mistyped keys are errors that name file,
 * line, key and what was expected.
 */

typedef struct {
	uint32_t node;
	char *address; /**< IP:port of its peer listener */
	char *data_centre;
} settings_peer_t;

typedef struct {
	uint32_t heartbeat_ms; /**< 200 */
	uint32_t election_ms;  /**< 800; least election timeout, the greatest is twice as long */
	uint32_t lease_ms;     /**< 600; must be below election_ms */
	uint32_t routing_lease_ms; /**< 4,000 */
	uint32_t lost_ms;	   /**< 10,000; must be above routing_lease_ms */
	uint32_t planner_ms;	   /**< 1,000 */
	uint32_t ping_ms;	   /**< 500 */
	uint32_t peer_timeout_ms;  /**< 2,000 */
	uint32_t drain_grace_ms;   /**< 30,000; longest wait for requests in flight on SIGTERM */
} settings_timing_t;

typedef struct {
	uint32_t body_bytes;	    /**< 1 MiB */
	uint32_t connections;	    /**< 1,024 per I/O thread */
	uint32_t snapshot_entries;  /**< 2,000 */
	uint32_t claim_retention_s; /**< 86,400 */
} settings_limits_t;

typedef enum {
	SETTINGS_LOG_TEXT,
	SETTINGS_LOG_JSON,
} settings_log_format_t;

typedef struct {
	char *file; /**< name it was read from */
	char *cluster;
	uint32_t node;
	char *data_centre;
	char *listen_http;    /**< IP:port */
	char *listen_peer;    /**< IP:port */
	char *advertise_http; /**< IP:port told to peers; the default is listen_http */
	char *data_dir;	      /**< NULL: this VM has no disk */
	uint32_t *voters;
	unsigned voters_count;
	settings_peer_t *peers; /**< all entry processes, this one included or not */
	unsigned peers_count;
	uint32_t threads; /**< I/O threads; 2 */
	char *platform;	  /**< base URL of the platform's API, or NULL */
	char *token_file; /**< bearer tokens "role token" per line, or NULL: administration is open
			     on loopback only */
	settings_log_format_t log_format;
	bool log_debug;
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

/** Splits "IP:port"; IPv6 addresses stand in brackets. @return 0, or -1 when malformed */
int settings_split_address(const char *address, char *ip, size_t ip_size, uint16_t *port);
