#define G_LOG_DOMAIN "org"

#include "org_access.h"

#include <inttypes.h>

#include "clock.h"
#include "log.h"
#include "org_keys.h"

#define REFUSAL_LOG_PERIOD_US (1 * US_PER_S)
/* Length of the prefix of a digest that is shown, in bytes: enough to tell keys apart, and of no
 * use for finding a key. */
#define SHOWN_DIGEST_BYTES 4

void org_access_init(org_access_t *access, metrics_t *metrics)
{
	*access = (org_access_t){
		.metrics = metrics,
		.missing = metrics_counter(metrics, "org_calls_refused_total", "cause=\"no_key\""),
		.unknown = metrics_counter(metrics, "org_calls_refused_total",
					   "cause=\"unknown_key\""),
		.last_accepted = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
	};
}

void org_access_finish(org_access_t *access)
{
	g_hash_table_destroy(access->last_accepted);
}

static void format_digest(const ProtobufCBinaryData *digest, char text[2 * SHOWN_DIGEST_BYTES + 1])
{
	for (size_t i = 0; i < SHOWN_DIGEST_BYTES; i++)
		g_snprintf(text + 2 * i, 3, "%02x", digest->data[i]);
}

static void record_use(org_access_t *access, const ProtobufCBinaryData *digest, uint64_t wall_ms)
{
	char shown[2 * SHOWN_DIGEST_BYTES + 1];
	metrics_counter_t *gauge;

	format_digest(digest, shown);
	gauge = g_hash_table_lookup(access->last_accepted, shown);
	if (gauge == NULL) {
		g_autofree char *label = g_strdup_printf("key=\"%s\"", shown);

		if (g_hash_table_size(access->last_accepted) >= ORG_ACCESS_KEYS_MAX)
			return;
		gauge = metrics_counter(access->metrics, "org_key_last_accepted_seconds", label);
		g_hash_table_insert(access->last_accepted, g_strdup(shown), gauge);
	}
	metrics_set(gauge, wall_ms / 1000);
}

static void count_refusal(org_access_t *access, const char *queue, bool has_key, uint64_t version,
			  uint64_t now_us)
{
	char unlogged[24];
	char version_text[24];

	metrics_add(has_key ? access->unknown : access->missing, 1);
	if (access->logged_us != 0 && now_us < access->logged_us + REFUSAL_LOG_PERIOD_US) {
		access->unlogged++;
		return;
	}
	g_snprintf(unlogged, sizeof(unlogged), "%" PRIu64, access->unlogged);
	g_snprintf(version_text, sizeof(version_text), "%" PRIu64, version);
	access->logged_us = now_us;
	access->unlogged = 0;
	log_event(G_LOG_LEVEL_INFO,
		  LOG_FIELDS("queue", queue, "cause", has_key ? "unknown key" : "no key", "version",
			     version_text, "others", unlogged),
		  "call refused, its key is of no organisation");
}

org_caller_t org_access_identify(org_access_t *access, const Lp__BatchConfig *config,
				 const char *queue, bool is_public,
				 const ProtobufCBinaryData *digest, uint64_t now_us,
				 uint64_t wall_ms)
{
	const Lp__BatchOrganisation *organisation;

	if (!config->checks_keys || is_public)
		return (org_caller_t){.known = true, .organisation = ""};
	organisation = org_keys_find(config, digest);
	if (organisation == NULL) {
		count_refusal(access, queue, digest->len > 0, config->version, now_us);
		return (org_caller_t){.known = false, .organisation = ""};
	}
	record_use(access, digest, wall_ms);
	return (org_caller_t){.known = true, .organisation = organisation->name};
}
