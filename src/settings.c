#define G_LOG_DOMAIN "settings"

#include "settings.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cyaml/cyaml.h>
#include <glib.h>

#include "yaml_locate.h"

/* Settings as libcyaml loads them. Optional numbers are pointers, which are NULL for an absent key,
 * to tell an absent key from an explicit 0. */
typedef struct {
	uint32_t *heartbeat_ms;
	uint32_t *election_ms;
	uint32_t *lease_ms;
	uint32_t *routing_lease_ms;
	uint32_t *lost_ms;
	uint32_t *planner_ms;
	uint32_t *ping_ms;
	uint32_t *peer_timeout_ms;
	uint32_t *drain_grace_ms;
} raw_timing_t;

typedef struct {
	uint32_t *body_bytes;
	uint32_t *connections;
	uint32_t *client_memory_mib;
	uint32_t *snapshot_entries;
	uint32_t *claim_retention_s;
} raw_limits_t;

typedef struct {
	char *cluster;
	uint32_t *node;
	char *data_centre;
	char *listen_http;
	char *listen_peer;
	char *advertise_http;
	char *data_dir;
	uint32_t *voters;
	unsigned voters_count;
	settings_peer_t *peers;
	unsigned peers_count;
	uint32_t *threads;
	char *platform;
	char *token_file;
	settings_log_format_t log_format;
	int log_debug;
	raw_timing_t timing;
	raw_limits_t limits;
} raw_settings_t;

typedef struct {
	const char *key;
	const char *path;	/* path of the key in the settings file, separated by dots */
	size_t raw_offset;	/* offset of the loaded value in raw_settings_t */
	size_t settings_offset; /* offset of the converted value in settings_t */
	uint32_t min;
	uint32_t max;
	uint32_t default_value;
} number_setting_t;

#define NUMBER(name, lowest, highest, preset)                                                     \
	{                                                                                         \
		.key = #name, .path = #name, .raw_offset = offsetof(raw_settings_t, name),        \
		.settings_offset = offsetof(settings_t, name), .min = (lowest), .max = (highest), \
		.default_value = (preset)                                                         \
	}
#define TIMING(name, lowest, highest, preset)                                          \
	{                                                                              \
		.key = #name, .path = "timing." #name,                                 \
		.raw_offset = offsetof(raw_settings_t, timing.name),                   \
		.settings_offset = offsetof(settings_t, timing.name), .min = (lowest), \
		.max = (highest), .default_value = (preset)                            \
	}
#define LIMIT(name, lowest, highest, preset)                                           \
	{                                                                              \
		.key = #name, .path = "limits." #name,                                 \
		.raw_offset = offsetof(raw_settings_t, limits.name),                   \
		.settings_offset = offsetof(settings_t, limits.name), .min = (lowest), \
		.max = (highest), .default_value = (preset)                            \
	}

#define MS_PER_MINUTE 60000
#define MS_PER_HOUR 3600000

static const number_setting_t number_settings[] = {
	NUMBER(node, 1, UINT32_MAX, 0),
	NUMBER(threads, 1, 64, 2),
	TIMING(heartbeat_ms, 10, MS_PER_MINUTE, 200),
	TIMING(election_ms, 50, MS_PER_MINUTE, 800),
	TIMING(lease_ms, 20, MS_PER_MINUTE, 600),
	TIMING(routing_lease_ms, 100, MS_PER_HOUR, 4000),
	TIMING(lost_ms, 200, MS_PER_HOUR, 10000),
	TIMING(planner_ms, 50, MS_PER_MINUTE, 1000),
	TIMING(ping_ms, 10, MS_PER_MINUTE, 500),
	TIMING(peer_timeout_ms, 50, MS_PER_MINUTE, 2000),
	TIMING(drain_grace_ms, 0, MS_PER_HOUR, 30000),
	LIMIT(body_bytes, 1024, 64 << 20, 1 << 20),
	LIMIT(connections, 8, 65536, 1024),
	LIMIT(client_memory_mib, 1, 65536, 64),
	LIMIT(snapshot_entries, 10, 1000000, 2000),
	LIMIT(claim_retention_s, 60, 30 * 86400, 86400),
};

/* Descriptions of the valid values of keys that are not numbers, for error messages. */
static const struct {
	const char *key;
	const char *expected;
} expected_values[] = {
	{"cluster", "a name of 1 to 64 characters"},
	{"data_centre", "a name of 1 to 64 characters"},
	{"listen_http", "IP:port"},
	{"listen_peer", "IP:port"},
	{"advertise_http", "IP:port"},
	{"address", "IP:port"},
	{"data_dir", "a path"},
	{"voters", "a list of 1, 3 or 5 node numbers that are among the peers"},
	{"peers", "a list of node, address and data_centre, with different nodes"},
	{"platform", "a URL that begins with http:// or https://"},
	{"token_file", "a path"},
	{"log_format", "text or json"},
	{"log_debug", "true or false"},
	{"timing", "a mapping"},
	{"limits", "a mapping"},
};

static const cyaml_strval_t log_formats[] = {
	{"text", SETTINGS_LOG_TEXT},
	{"json", SETTINGS_LOG_JSON},
};
/* Used instead of libcyaml's boolean type, which accepts any unknown word as true. */
static const cyaml_strval_t booleans[] = {{"false", 0}, {"true", 1}};

#define TIMING_FIELD(name) CYAML_FIELD_UINT_PTR(#name, CYAML_FLAG_OPTIONAL, raw_timing_t, name)
static const cyaml_schema_field_t timing_fields[] = {
	TIMING_FIELD(heartbeat_ms),   TIMING_FIELD(election_ms),
	TIMING_FIELD(lease_ms),	      TIMING_FIELD(routing_lease_ms),
	TIMING_FIELD(lost_ms),	      TIMING_FIELD(planner_ms),
	TIMING_FIELD(ping_ms),	      TIMING_FIELD(peer_timeout_ms),
	TIMING_FIELD(drain_grace_ms), CYAML_FIELD_END,
};

#define LIMIT_FIELD(name) CYAML_FIELD_UINT_PTR(#name, CYAML_FLAG_OPTIONAL, raw_limits_t, name)
static const cyaml_schema_field_t limits_fields[] = {
	LIMIT_FIELD(body_bytes),	LIMIT_FIELD(connections),
	LIMIT_FIELD(snapshot_entries),	LIMIT_FIELD(claim_retention_s),
	LIMIT_FIELD(client_memory_mib), CYAML_FIELD_END,
};

static const cyaml_schema_field_t peer_fields[] = {
	CYAML_FIELD_UINT("node", CYAML_FLAG_DEFAULT, settings_peer_t, node),
	CYAML_FIELD_STRING_PTR("address", CYAML_FLAG_POINTER, settings_peer_t, address, 1, 64),
	CYAML_FIELD_STRING_PTR("data_centre", CYAML_FLAG_POINTER, settings_peer_t, data_centre, 1,
			       64),
	CYAML_FIELD_END,
};
static const cyaml_schema_value_t peer_value = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, settings_peer_t, peer_fields),
};
static const cyaml_schema_value_t node_value = {
	CYAML_VALUE_UINT(CYAML_FLAG_DEFAULT, uint32_t),
};

#define TEXT_FIELD(name, flags, longest)                                                     \
	CYAML_FIELD_STRING_PTR(#name, (flags) | CYAML_FLAG_POINTER, raw_settings_t, name, 1, \
			       longest)
static const cyaml_schema_field_t fields[] = {
	TEXT_FIELD(cluster, CYAML_FLAG_DEFAULT, 64),
	CYAML_FIELD_UINT_PTR("node", CYAML_FLAG_DEFAULT, raw_settings_t, node),
	TEXT_FIELD(data_centre, CYAML_FLAG_DEFAULT, 64),
	TEXT_FIELD(listen_http, CYAML_FLAG_DEFAULT, 64),
	TEXT_FIELD(listen_peer, CYAML_FLAG_DEFAULT, 64),
	TEXT_FIELD(advertise_http, CYAML_FLAG_OPTIONAL, 64),
	TEXT_FIELD(data_dir, CYAML_FLAG_OPTIONAL, 4000),
	CYAML_FIELD_SEQUENCE("voters", CYAML_FLAG_POINTER, raw_settings_t, voters, &node_value, 1,
			     5),
	CYAML_FIELD_SEQUENCE("peers", CYAML_FLAG_POINTER, raw_settings_t, peers, &peer_value, 1,
			     64),
	CYAML_FIELD_UINT_PTR("threads", CYAML_FLAG_OPTIONAL, raw_settings_t, threads),
	TEXT_FIELD(platform, CYAML_FLAG_OPTIONAL, 1000),
	TEXT_FIELD(token_file, CYAML_FLAG_OPTIONAL, 4000),
	CYAML_FIELD_ENUM("log_format", CYAML_FLAG_OPTIONAL | CYAML_FLAG_STRICT, raw_settings_t,
			 log_format, log_formats, 2),
	CYAML_FIELD_ENUM("log_debug", CYAML_FLAG_OPTIONAL | CYAML_FLAG_STRICT, raw_settings_t,
			 log_debug, booleans, 2),
	CYAML_FIELD_MAPPING("timing", CYAML_FLAG_OPTIONAL, raw_settings_t, timing, timing_fields),
	CYAML_FIELD_MAPPING("limits", CYAML_FLAG_OPTIONAL, raw_settings_t, limits, limits_fields),
	CYAML_FIELD_END,
};
static const cyaml_schema_value_t schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, raw_settings_t, fields),
};

/* State of loading one settings file: its text, libcyaml's messages, and the buffer for the error
 * message. */
typedef struct {
	const char *file;
	char *text;
	size_t length;
	char *error;
	size_t error_size;
	char message[256];	  /* first error message of libcyaml */
	char backtrace_line[256]; /* first line with a line number in libcyaml's backtrace */
	char field[64];		  /* name of the first field in libcyaml's backtrace */
} load_state_t;

/* Log callback of libcyaml. Keeps its first error message, and the first line number and field name
 * of the backtrace that follows. */
static void on_cyaml_log(cyaml_log_t level, void *ctx, const char *format, va_list args)
{
	load_state_t *load = ctx;
	char line[256];
	const char *field;

	if (level < CYAML_LOG_ERROR)
		return;
	(void)vsnprintf(line, sizeof(line), format, args);
	g_strchomp(line);
	if (load->message[0] == '\0')
		g_strlcpy(load->message, line, sizeof(load->message));
	else if (load->backtrace_line[0] == '\0' && strstr(line, "(line:") != NULL)
		g_strlcpy(load->backtrace_line, line, sizeof(load->backtrace_line));
	field = strstr(line, "mapping field '");
	if (load->field[0] == '\0' && load->backtrace_line[0] != '\0' && field != NULL) {
		field += strlen("mapping field '");
		g_strlcpy(load->field, field, MIN(sizeof(load->field), strcspn(field, "'") + 1));
	}
}

/* Writes a description of the values that a key accepts. */
static void describe_expected(const char *key, char *out, size_t size)
{
	for (size_t i = 0; i < G_N_ELEMENTS(number_settings); i++) {
		if (strcmp(number_settings[i].key, key) == 0) {
			g_snprintf(out, size, "a whole number from %u to %u",
				   number_settings[i].min, number_settings[i].max);
			return;
		}
	}
	g_strlcpy(out, "a key that the example file lists", size);
	for (size_t i = 0; i < G_N_ELEMENTS(expected_values); i++) {
		if (strcmp(expected_values[i].key, key) == 0)
			g_strlcpy(out, expected_values[i].expected, size);
	}
}

/* Writes an error message about the given key and line of the settings file. @return -1 */
static int fail_at_line(load_state_t *load, unsigned line, const char *key, const char *problem)
{
	char expected[128];

	describe_expected(key, expected, sizeof(expected));
	g_snprintf(load->error, load->error_size, "%s:%u: %s: %s; expected %s", load->file, line,
		   key, problem, expected);
	return -1;
}

/* Writes an error message about the key at a path such as "timing.lease_ms". @return -1 */
static int fail_at_path(load_state_t *load, const char *path, const char *problem)
{
	unsigned line = yaml_locate_path(load->text, load->length, path);
	const char *dot = strrchr(path, '.');

	return fail_at_line(load, line == 0 ? 1 : line, dot == NULL ? path : dot + 1, problem);
}

/* Reports a violated relation between two timings, such as lease_ms not being below election_ms.
 * The error message gives the line of key or, if the file does not set key, the line of other. */
static int fail_relation(load_state_t *load, const char *key, const char *relation,
			 const char *other)
{
	char path[64];
	char problem[128];

	g_snprintf(path, sizeof(path), "timing.%s", key);
	if (yaml_locate_path(load->text, load->length, path) == 0)
		g_snprintf(path, sizeof(path), "timing.%s", other);
	g_snprintf(problem, sizeof(problem), "%s has to be %s %s", key, relation, other);
	return fail_at_path(load, path, problem);
}

/* Returns the rest of text after the first occurrence of prefix, or NULL if there is none. */
static const char *text_after(const char *text, const char *prefix)
{
	const char *found = strstr(text, prefix);

	return found == NULL ? NULL : found + strlen(prefix);
}

/* Writes a one-line error message made from libcyaml's message and backtrace. */
static int report_cyaml_error(load_state_t *load)
{
	const char *line_text = text_after(load->backtrace_line, "(line: ");
	unsigned line = line_text == NULL ? 1 : (unsigned)strtoul(line_text, NULL, 10);
	const char *message = load->message;
	const char *key;

	if ((key = text_after(message, "Unexpected key: ")) != NULL)
		return fail_at_line(load, yaml_locate_key(load->text, load->length, key, line), key,
				    "unknown key");
	if ((key = text_after(message, "Missing required mapping field: ")) != NULL)
		return fail_at_line(load, line, key, "missing key");
	if ((key = text_after(message, "already seen: ")) != NULL)
		return fail_at_line(load, yaml_locate_key(load->text, load->length, key, line + 1),
				    key, "repeated key");
	if (load->field[0] != '\0')
		return fail_at_line(load, line, load->field, message);
	g_snprintf(load->error, load->error_size, "%s:%u: %s; expected a YAML mapping", load->file,
		   line, message[0] == '\0' ? "no settings" : message);
	return -1;
}

/* Copies the numbers to settings, using the default for an absent key, and checks their ranges. */
static int convert_numbers(load_state_t *load, const raw_settings_t *raw, settings_t *settings)
{
	for (size_t i = 0; i < G_N_ELEMENTS(number_settings); i++) {
		const number_setting_t *number = &number_settings[i];
		const uint32_t *given = G_STRUCT_MEMBER(uint32_t *, raw, number->raw_offset);
		uint32_t value = given == NULL ? number->default_value : *given;

		if (given != NULL && (value < number->min || value > number->max))
			return fail_at_path(load, number->path, "out of range");
		G_STRUCT_MEMBER(uint32_t, settings, number->settings_offset) = value;
	}
	return 0;
}

int settings_split_address(const char *address, char *ip, size_t ip_size, uint16_t *port)
{
	const char *colon = strrchr(address, ':');
	const char *start = address;
	size_t length;
	unsigned char parsed[sizeof(struct in6_addr)];
	guint64 value;

	if (colon == NULL || !g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &value, NULL))
		return -1;
	length = (size_t)(colon - address);
	if (length >= 2 && address[0] == '[' && address[length - 1] == ']') {
		start++;
		length -= 2;
	}
	if (length == 0 || length >= ip_size)
		return -1;
	memcpy(ip, start, length);
	ip[length] = '\0';
	if (inet_pton(start == address ? AF_INET : AF_INET6, ip, parsed) != 1)
		return -1;
	*port = (uint16_t)value;
	return 0;
}

static int check_address(load_state_t *load, const char *path, const char *address)
{
	char ip[INET6_ADDRSTRLEN];
	uint16_t port;

	if (settings_split_address(address, ip, sizeof(ip), &port) == 0)
		return 0;
	return fail_at_path(load, path, "not an address");
}

static const settings_peer_t *find_peer(const settings_t *settings, uint32_t node)
{
	for (unsigned i = 0; i < settings->peers_count; i++) {
		if (settings->peers[i].node == node)
			return &settings->peers[i];
	}
	return NULL;
}

static int check_peers(load_state_t *load, const settings_t *settings)
{
	for (unsigned i = 0; i < settings->peers_count; i++) {
		const settings_peer_t *peer = &settings->peers[i];
		char address[32];
		char node[32];

		g_snprintf(address, sizeof(address), "peers.%u.address", i);
		g_snprintf(node, sizeof(node), "peers.%u.node", i);
		if (check_address(load, address, peer->address) != 0)
			return -1;
		if (peer->node == 0)
			return fail_at_path(load, node, "0 is not a valid node number");
		if (find_peer(settings, peer->node) != peer)
			return fail_at_path(load, node, "the same node twice");
		if (peer->node == settings->node &&
		    strcmp(peer->data_centre, settings->data_centre) != 0)
			return fail_at_path(load, "data_centre",
					    "differs from this node's entry in peers");
	}
	return 0;
}

static int check_voters(load_state_t *load, const settings_t *settings)
{
	bool is_voter = false;

	if (settings->voters_count % 2 == 0)
		return fail_at_path(load, "voters", "an even number of voters");
	for (unsigned i = 0; i < settings->voters_count; i++) {
		uint32_t node = settings->voters[i];

		for (unsigned j = 0; j < i; j++) {
			if (settings->voters[j] == node)
				return fail_at_path(load, "voters", "the same node twice");
		}
		if (node != settings->node && find_peer(settings, node) == NULL)
			return fail_at_path(load, "voters", "a node that is not a peer");
		is_voter |= node == settings->node;
	}
	if (is_voter && settings->data_dir == NULL)
		return fail_at_path(load, "voters", "this node is a voter but has no data_dir");
	return 0;
}

static int check_timing(load_state_t *load, const settings_timing_t *timing)
{
	if (timing->lease_ms >= timing->election_ms)
		return fail_relation(load, "lease_ms", "below", "election_ms");
	if (timing->heartbeat_ms >= timing->lease_ms)
		return fail_relation(load, "heartbeat_ms", "below", "lease_ms");
	if (timing->lost_ms <= timing->routing_lease_ms)
		return fail_relation(load, "lost_ms", "above", "routing_lease_ms");
	if (timing->peer_timeout_ms <= timing->ping_ms)
		return fail_relation(load, "peer_timeout_ms", "above", "ping_ms");
	return 0;
}

static int check_settings(load_state_t *load, const settings_t *settings)
{
	if (check_address(load, "listen_http", settings->listen_http) != 0 ||
	    check_address(load, "listen_peer", settings->listen_peer) != 0 ||
	    check_address(load, "advertise_http", settings->advertise_http) != 0)
		return -1;
	if (settings->platform != NULL && !g_str_has_prefix(settings->platform, "http://") &&
	    !g_str_has_prefix(settings->platform, "https://"))
		return fail_at_path(load, "platform", "not a URL");
	if (check_peers(load, settings) != 0 || check_voters(load, settings) != 0)
		return -1;
	return check_timing(load, &settings->timing);
}

static cyaml_config_t cyaml_config(load_state_t *load)
{
	return (cyaml_config_t){
		.log_fn = on_cyaml_log,
		.log_ctx = load,
		.mem_fn = cyaml_mem,
		.log_level = CYAML_LOG_ERROR,
	};
}

static int convert_settings(load_state_t *load, raw_settings_t *raw, settings_t *settings)
{
	*settings = (settings_t){
		.file = g_strdup(load->file),
		.cluster = g_strdup(raw->cluster),
		.data_centre = g_strdup(raw->data_centre),
		.listen_http = g_strdup(raw->listen_http),
		.listen_peer = g_strdup(raw->listen_peer),
		.advertise_http =
			g_strdup(raw->advertise_http ? raw->advertise_http : raw->listen_http),
		.data_dir = g_strdup(raw->data_dir),
		.voters = g_memdup2(raw->voters, raw->voters_count * sizeof(*raw->voters)),
		.voters_count = raw->voters_count,
		.peers = g_new0(settings_peer_t, raw->peers_count),
		.peers_count = raw->peers_count,
		.platform = g_strdup(raw->platform),
		.token_file = g_strdup(raw->token_file),
		.log_format = raw->log_format,
		.log_debug = raw->log_debug != 0,
	};
	for (unsigned i = 0; i < raw->peers_count; i++) {
		settings->peers[i] = (settings_peer_t){
			.node = raw->peers[i].node,
			.address = g_strdup(raw->peers[i].address),
			.data_centre = g_strdup(raw->peers[i].data_centre),
		};
	}
	if (convert_numbers(load, raw, settings) == 0 && check_settings(load, settings) == 0)
		return 0;
	settings_finish(settings);
	return -1;
}

int settings_load(settings_t *settings, const char *file, char *error, size_t error_size)
{
	load_state_t load = {.file = file, .error = error, .error_size = error_size};
	cyaml_config_t config = cyaml_config(&load);
	GError *io_error = NULL;
	raw_settings_t *raw = NULL;
	int rc = -1;

	if (!g_file_get_contents(file, &load.text, &load.length, &io_error)) {
		g_snprintf(error, error_size, "%s", io_error->message);
		g_error_free(io_error);
		return -1;
	}
	if (cyaml_load_data((const uint8_t *)load.text, load.length, &config, &schema,
			    (cyaml_data_t **)&raw, NULL) != CYAML_OK ||
	    raw == NULL)
		(void)report_cyaml_error(&load);
	else
		rc = convert_settings(&load, raw, settings);
	cyaml_free(&config, &schema, raw, 0);
	g_free(load.text);
	return rc;
}

void settings_finish(settings_t *settings)
{
	for (unsigned i = 0; i < settings->peers_count; i++) {
		g_free(settings->peers[i].address);
		g_free(settings->peers[i].data_centre);
	}
	g_free(settings->file);
	g_free(settings->cluster);
	g_free(settings->data_centre);
	g_free(settings->listen_http);
	g_free(settings->listen_peer);
	g_free(settings->advertise_http);
	g_free(settings->data_dir);
	g_free(settings->voters);
	g_free(settings->peers);
	g_free(settings->platform);
	g_free(settings->token_file);
	*settings = (settings_t){0};
}
