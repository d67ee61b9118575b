#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include <jansson.h>

/**
 * @file
 * Fixture for integration tests of the platform roles: three core processes and an edge process on
 * loopback addresses, with their files in a temporary directory. The program is in
 * $LAVENDERPASS_BUILD, by default build/release. No platform, VMs or policy service are
 * started; the processes are told that the policy service is at 127.NETWORK.4.1 and port_base + 14.
 */

#define ROLES_CORES 3

/**
 * Starts a process of the role with the settings file. Its output is appended to the file with the
 * same name and ".log". Fails the test when it cannot be forked. @return its process id
 */
pid_t roles_spawn(const char *settings, const char *role);

/** A process of a role. */
typedef struct {
	pid_t pid;
	char ip[32];
	char *settings; /**< path of the settings file */
	char *data_dir;
	char *url; /**< clients' address of an edge process, control address of a core process */
} role_process_t;

typedef struct {
	unsigned core_memory_mib; /**< limit that the processes are told */
	unsigned edge_memory_mib;
} roles_config_t;

typedef struct {
	char dir[64];
	unsigned network; /**< the processes have addresses in 127.NETWORK.0.0/16 */
	unsigned port_base;
	uint16_t front_port;
	uint16_t control_port;
	unsigned version; /**< version of the latest configuration of roles_configure() */
	role_process_t cores[ROLES_CORES];
	role_process_t edge;
} roles_t;

/** Declared times of the policy service for a queue. */
typedef struct {
	int decide_ms;
	int per_vm_ms;
	int valid_ms;
} roles_advice_t;

/** A queue of a configuration, for the host that is the edge process's address. */
typedef struct {
	const char *prefix;
	const char *service;
	const roles_advice_t *advice; /**< NULL: its steps need no tickets */
} roles_queue_t;

/**
 * Starts the processes, and waits until a configuration with the queue /q/ of the service "svc" is
 * in force and the edge process answers clients. @return 0, or -1 when that takes too long
 */
int roles_start(roles_t *roles, const roles_config_t *config);
/** Kills the processes and deletes their files. @return 0, or -1 when files are left */
int roles_stop(roles_t *roles);
/**
 * Sends a configuration with the queues, and a version above the latest one, until it is
 * acknowledged. Fails the test after 30 s.
 */
void roles_configure(roles_t *roles, const roles_queue_t *queues, unsigned count);
/** @return the core process that leads, or NULL */
const role_process_t *roles_find_leader(const roles_t *roles);
