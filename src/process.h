#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peer.h"

/**
 * @file
 * Settings of a process of the batch service, filled in by the platform adapter. A node id is the
 * node's IPv4 address in host byte order.
 */

#define PROCESS_SEEDS_MAX 16

typedef struct {
	char *name; /**< name of the machine */
	char *ip;
	uint32_t node_id;
	char *data_centre;
	char *data_dir; /**< path of the data directory; NULL: the machine has no disk */
	/** Port for connections between processes; the same on all machines. */
	uint16_t peer_port;
	/** Port of the core processes' HTTP API; the same on all machines. */
	uint16_t control_port;
	uint16_t client_api_port; /**< port of an edge process's HTTP API for clients */
	uint16_t readiness_port;  /**< port of an edge process's readiness check */
	uint16_t metrics_port;
	uint32_t seeds[PROCESS_SEEDS_MAX]; /**< node ids of recent core processes that the process
					      connects to */
	size_t seed_count;
	bool bootstrap;	     /**< true when the whole cluster starts for the first time */
	uint32_t memory_mib; /**< memory that the process may use */
	/** Number of machines with a disk that can be lost at the same time. */
	uint32_t tolerated_machine_losses;
	char *policy_service_address; /**< IP:port of the queues' policy service; NULL: none */
	char *platform_address; /**< IP:port of the API that manages the machines; NULL: none */
	uint32_t report_interval_ms; /**< time between two reports of a VM */
	uint32_t vm_lease_max_ms;    /**< upper limit of the lease for tasks on a VM */
	uint32_t vm_stop_max_ms;     /**< longest time that a VM takes to stop a task */
	/** Time within which the replacement of a lost machine must become a voter. */
	uint32_t catch_up_max_ms;
	uint32_t shutdown_grace_ms; /**< time from SIGTERM to SIGKILL */
	/** After a leader's platform request for a machine, least time before another leader sends
	 * one for the same machine. */
	uint32_t holder_lease_ms;
	uint32_t maintenance_downtime_ms; /**< time that a machine is down for maintenance */
	/** Number of requests that the platform accepts per second. */
	uint32_t platform_requests_per_s;
	/** Time that a machine is down while it moves to another pool. */
	uint32_t move_downtime_ms;
} process_settings_t;

/** Frees the strings and clears all settings. */
void process_settings_finish(process_settings_t *settings);

/**
 * Returns the configuration of the connections to other processes, the same for all roles.
 * @param incarnation random number of this start of the process
 * @param listen_address IP:port; must outlive the result, as must settings
 */
peer_config_t process_peer_config(const process_settings_t *settings, uint64_t incarnation,
				  const char *listen_address);

/** Formats a node's address as IP:port. */
void process_address(uint32_t node_id, uint16_t port, char *out, size_t size);
/** Parses IP:port. @return 0, or -1 when text is malformed */
int process_parse_address(const char *text, uint32_t *node_id, uint16_t *port);
