#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peer.h"

/**
 * @file
 * What a process of the batch service is told when it starts. Filled in by the platform's adapter.
 * A node's id is its IPv4 address in host order.
 */

#define PROCESS_SEEDS_MAX 16

typedef struct {
	char *name; /**< of the machine */
	char *ip;
	uint32_t node_id;
	char *data_centre;
	char *data_dir;	       /**< NULL: no disk */
	uint16_t peer_port;    /**< the same on all machines */
	uint16_t control_port; /**< of the processes that keep the log; the same on all machines */
	uint16_t client_api_port; /**< of an edge process */
	uint16_t readiness_port;
	uint16_t metrics_port;
	uint32_t seeds[PROCESS_SEEDS_MAX]; /**< node ids of processes that kept the log lately */
	size_t seed_count;
	bool bootstrap;			   /**< the whole system starts for the first time */
	uint32_t tolerated_machine_losses; /**< machines with a disk that may be lost at once */
	char *policy_service_address; /**< of the service that knows the queues' policies; NULL:
					 none */
	char *platform_address;	      /**< of the platform that owns the machines; NULL: none */
	uint32_t report_interval_ms;  /**< time between two reports of a VM */
	uint32_t vm_lease_max_ms;
	uint32_t catch_up_max_ms;   /**< a lost machine's successor has to have taken its place by
				       then */
	uint32_t shutdown_grace_ms; /**< from SIGTERM to SIGKILL */
	uint32_t holder_lease_ms;
	uint32_t maintenance_downtime_ms;
	uint32_t platform_requests_per_s; /**< moves and maintenance that the platform takes */
	uint32_t move_downtime_ms;
} process_settings_t;

void process_settings_finish(process_settings_t *settings);

/** What connects a process with the others, the same for all roles.
 * @param listen_address IP:port; has to outlive the result, like settings */
peer_config_t process_peer_config(const process_settings_t *settings, uint64_t incarnation,
				  const char *listen_address);

/** Formats IP:port of a node. */
void process_address(uint32_t node_id, uint16_t port, char *out, size_t size);
/** @return 0, or -1 when text is not IP:port */
int process_parse_address(const char *text, uint32_t *node_id, uint16_t *port);
