#include "process.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#define CLUSTER_NAME "lavenderpass"
/* Ping interval and peer timeout. A silent voter is replaced after 2.5 s by default (see
 * batch_node_voter_timeout_ms()); the peer timeout is shorter, so that a hung connection is
 * replaced first. */
#define PING_INTERVAL_MS 500
#define PEER_TIMEOUT_MS 1500
/* Time without contact after which a peer is forgotten. Longer than any restart or network outage
 * after which a machine returns at its old address. Until then, a machine that was replaced costs
 * one connection attempt a second. */
#define PEER_REMOVE_SILENT_AFTER_MS (10 * 60 * 1000)

peer_config_t process_peer_config(const process_settings_t *settings, uint64_t incarnation,
				  const char *listen_address)
{
	return (peer_config_t){
		.cluster = CLUSTER_NAME,
		.node_id = settings->node_id,
		.incarnation = incarnation,
		.data_centre = settings->data_centre,
		.http_address = "",
		.listen_address = listen_address,
		.ping_ms = PING_INTERVAL_MS,
		.timeout_ms = PEER_TIMEOUT_MS,
		.remove_silent_after_ms = PEER_REMOVE_SILENT_AFTER_MS,
		.dial_back_port = settings->peer_port,
	};
}

void process_settings_finish(process_settings_t *settings)
{
	g_free(settings->name);
	g_free(settings->ip);
	g_free(settings->data_centre);
	g_free(settings->data_dir);
	g_free(settings->policy_service_address);
	g_free(settings->platform_address);
	*settings = (process_settings_t){0};
}

void process_address(uint32_t node_id, uint16_t port, char *out, size_t size)
{
	g_snprintf(out, size, "%u.%u.%u.%u:%u", node_id >> 24, node_id >> 16 & 255,
		   node_id >> 8 & 255, node_id & 255, port);
}

int process_parse_address(const char *text, uint32_t *node_id, uint16_t *port)
{
	const char *colon = strrchr(text, ':');
	g_autofree char *ip = NULL;
	struct in_addr address;
	char *end;
	unsigned long number;

	if (colon == NULL)
		return -1;
	ip = g_strndup(text, (gsize)(colon - text));
	if (inet_pton(AF_INET, ip, &address) != 1)
		return -1;
	number = strtoul(colon + 1, &end, 10);
	if (*end != '\0' || end == colon + 1 || number == 0 || number > UINT16_MAX)
		return -1;
	*node_id = ntohl(address.s_addr);
	*port = (uint16_t)number;
	return 0;
}
