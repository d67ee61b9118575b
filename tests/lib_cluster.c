#include "lib_cluster.h"

#include <fcntl.h>
#include <setjmp.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <glib.h>
#include <glib/gstdio.h>

#define POLL_US 20000
#define START_LIMIT_MS 20000
#define END_LIMIT_MS 5000
/* Ports below the range that the kernel gives to outgoing connections. */
#define PORT_MIN 10000
#define PORT_MAX 30000

extern char **environ;

static bool port_free(uint16_t port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool ok = setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)) == 0 &&
		  bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;

	close(fd);
	return ok;
}

static uint16_t find_ports(unsigned count)
{
	for (unsigned attempt = 0; attempt < 200; attempt++) {
		uint16_t base = (uint16_t)g_random_int_range(PORT_MIN, PORT_MAX - (gint32)count);
		unsigned free_count = 0;

		while (free_count < count && port_free((uint16_t)(base + free_count)))
			free_count++;
		if (free_count == count)
			return base;
	}
	fail_msg("no %u free ports in a row", count);
	return 0;
}

char *cluster_path(const cluster_t *cluster, const char *name)
{
	return g_build_filename(cluster->dir, name, NULL);
}

unsigned cluster_link(const cluster_t *cluster, unsigned from, unsigned to)
{
	return (from - 1) * cluster->config.nodes + to - 1;
}

static void write_settings(cluster_t *cluster, unsigned node)
{
	const cluster_config_t *config = &cluster->config;
	const cluster_node_t *self = &cluster->nodes[node - 1];
	GString *text = g_string_new("cluster: test\n");

	g_string_append_printf(text,
			       "node: %u\ndata_centre: %s\nlisten_http: 127.0.0.1:%u\n"
			       "listen_peer: 127.0.0.1:%u\nplatform: http://127.0.0.1:%u\n"
			       "voters: [1",
			       node, self->data_centre, self->http_port, self->peer_port,
			       cluster->platform_port);
	for (unsigned i = 2; i <= config->voters; i++)
		g_string_append_printf(text, ", %u", i);
	g_string_append(text, "]\npeers:\n");
	for (unsigned i = 1; i <= config->nodes; i++) {
		unsigned port = cluster->nodes[i - 1].peer_port;

		if (config->relay)
			port = cluster->relay_port + cluster_link(cluster, node, i);
		g_string_append_printf(text,
				       "  - {node: %u, address: '127.0.0.1:%u', data_centre: %s}\n",
				       i, port, cluster->nodes[i - 1].data_centre);
	}
	if (self->data_dir != NULL)
		g_string_append_printf(text, "data_dir: %s\n", self->data_dir);
	if (config->timing != NULL)
		g_string_append_printf(text, "timing:\n%s\n", config->timing);
	if (config->settings != NULL)
		g_string_append_printf(text, "%s\n", config->settings);
	assert_true(g_file_set_contents(self->settings, text->str, -1, NULL));
	g_string_free(text, TRUE);
}

static char *node_path(const cluster_t *cluster, unsigned node, const char *suffix)
{
	return g_strdup_printf("%s/node-%u%s", cluster->dir, node, suffix);
}

static void assign_ports(cluster_t *cluster)
{
	const cluster_config_t *config = &cluster->config;
	unsigned links = config->relay ? config->nodes * config->nodes : 0;
	uint16_t port = find_ports(2 * config->nodes + 2 + links + config->targets);

	for (unsigned i = 0; i < config->nodes; i++) {
		cluster->nodes[i].http_port = port++;
		cluster->nodes[i].peer_port = port++;
	}
	cluster->platform_port = port++;
	cluster->control_port = port++;
	cluster->relay_port = port;
	cluster->target_port = (uint16_t)(port + links);
}

cluster_t *cluster_create(const cluster_config_t *config)
{
	const char *build = getenv("LAVENDERPASS_BUILD");
	cluster_t *cluster = g_new0(cluster_t, 1);

	assert_in_range(config->nodes, 0, CLUSTER_NODES_MAX);
	assert_in_range(config->data_centres, 1, CLUSTER_CENTRES_MAX);
	cluster->config = *config;
	cluster->build = g_strdup(build == NULL ? "build/release" : build);
	cluster->dir = g_dir_make_tmp("lavenderpass-XXXXXX", NULL);
	assert_non_null(cluster->dir);
	cluster->journal = cluster_path(cluster, "emulator.journal");
	assign_ports(cluster);
	for (unsigned i = 0; i < config->data_centres; i++)
		cluster->centres[i] = g_strdup_printf("dc-%c", 'a' + (int)i);
	for (unsigned i = 1; i <= config->nodes; i++) {
		cluster_node_t *node = &cluster->nodes[i - 1];

		node->settings = node_path(cluster, i, ".yaml");
		node->log = node_path(cluster, i, ".log");
		node->data_dir = i <= config->voters ? node_path(cluster, i, ".data") : NULL;
		node->data_centre = cluster->centres[(i - 1) % MAX(config->data_centres, 1)];
	}
	for (unsigned i = 1; i <= config->nodes; i++)
		write_settings(cluster, i);
	return cluster;
}

/* Processes that have not been waited for. */
static pid_t started[64];

/* Ends what a failed test left: teardown does not run after a failed set-up. */
static void end_started(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(started); i++) {
		if (started[i] != 0)
			(void)kill(started[i], SIGKILL);
	}
}

static void replace_started(pid_t old, pid_t new)
{
	static bool registered;

	if (!registered)
		(void)atexit(end_started);
	registered = true;
	for (size_t i = 0; i < G_N_ELEMENTS(started); i++) {
		if (started[i] == old) {
			started[i] = new;
			return;
		}
	}
	fail_msg("more than %zu processes", G_N_ELEMENTS(started));
}

/* Starts a program of the build; args[0] is its name there. */
static pid_t spawn(cluster_t *cluster, char *const *args, const char *log, const char *out,
		   const int *pipes)
{
	char *program = g_build_filename(cluster->build, args[0], NULL);
	const int append = O_CREAT | O_APPEND | O_WRONLY;
	posix_spawn_file_actions_t actions;
	pid_t pid;
	int rc;

	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(&actions, 2, log, append, 0600);
	if (pipes != NULL) {
		posix_spawn_file_actions_adddup2(&actions, pipes[0], 0);
		posix_spawn_file_actions_adddup2(&actions, pipes[1], 1);
	} else {
		posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
		posix_spawn_file_actions_addopen(&actions, 1, out == NULL ? log : out, append,
						 0600);
	}
	rc = posix_spawn(&pid, program, &actions, NULL, args, environ);
	posix_spawn_file_actions_destroy(&actions);
	if (rc != 0)
		fail_msg("%s: %s", program, strerror(rc));
	replace_started(0, pid);
	g_free(program);
	return pid;
}

/* @return exit status, 128 + signal, or -1 after the limit */
static int wait_end(pid_t pid, unsigned limit_ms)
{
	gint64 end_us = g_get_monotonic_time() + (gint64)limit_ms * 1000;
	int status = 0;

	for (;;) {
		pid_t got = waitpid(pid, &status, WNOHANG);

		if (got == pid) {
			replace_started(pid, 0);
			return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
		}
		if (got < 0 || g_get_monotonic_time() > end_us)
			return -1;
		g_usleep(POLL_US / 4);
	}
}

static void end_process(pid_t *pid)
{
	if (*pid == 0)
		return;
	(void)kill(*pid, SIGCONT);
	(void)kill(*pid, SIGTERM);
	if (wait_end(*pid, END_LIMIT_MS) < 0) {
		(void)kill(*pid, SIGKILL);
		(void)wait_end(*pid, END_LIMIT_MS);
	}
	*pid = 0;
}

static cluster_node_t *node_of(cluster_t *cluster, unsigned node)
{
	assert_in_range(node, 1, cluster->config.nodes);
	return &cluster->nodes[node - 1];
}

void cluster_init_node(cluster_t *cluster, unsigned node)
{
	cluster_node_t *self = node_of(cluster, node);
	char *args[] = {"lavenderpass", "init", "--settings", self->settings, "--first", NULL};

	assert_int_equal(g_mkdir_with_parents(self->data_dir, 0700), 0);
	assert_int_equal(wait_end(spawn(cluster, args, self->log, NULL, NULL), START_LIMIT_MS), 0);
}

void cluster_start_node(cluster_t *cluster, unsigned node)
{
	cluster_node_t *self = node_of(cluster, node);
	char *args[] = {"lavenderpass", "serve", "--settings", self->settings, NULL};

	assert_int_equal(self->pid, 0);
	if (self->data_dir != NULL)
		assert_int_equal(g_mkdir_with_parents(self->data_dir, 0700), 0);
	self->pid = spawn(cluster, args, self->log, NULL, NULL);
}

void cluster_signal_node(cluster_t *cluster, unsigned node, int signal)
{
	const cluster_node_t *self = node_of(cluster, node);

	assert_int_not_equal(self->pid, 0);
	assert_int_equal(kill(self->pid, signal), 0);
}

void cluster_kill_node(cluster_t *cluster, unsigned node)
{
	cluster_signal_node(cluster, node, SIGKILL);
	(void)cluster_wait_node(cluster, node, END_LIMIT_MS);
}

int cluster_wait_node(cluster_t *cluster, unsigned node, unsigned limit_ms)
{
	cluster_node_t *self = node_of(cluster, node);
	int status = wait_end(self->pid, limit_ms);

	if (status >= 0)
		self->pid = 0;
	return status;
}

/* Deletes a folder and what is in it; symbolic links are not followed. */
static void delete_tree(const char *path)
{
	GDir *dir = g_file_test(path, G_FILE_TEST_IS_SYMLINK) ? NULL : g_dir_open(path, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		char *child = g_build_filename(path, name, NULL);

		delete_tree(child);
		g_free(child);
	}
	if (dir != NULL)
		g_dir_close(dir);
	(void)g_remove(path);
}

void cluster_delete_data(cluster_t *cluster, unsigned node)
{
	const cluster_node_t *self = node_of(cluster, node);

	assert_int_equal(self->pid, 0);
	assert_non_null(self->data_dir);
	delete_tree(self->data_dir);
}

void cluster_start_relay(cluster_t *cluster)
{
	const cluster_config_t *config = &cluster->config;
	GPtrArray *args = g_ptr_array_new_with_free_func(g_free);
	char *log = cluster_path(cluster, "relay.log");
	int in[2];
	int out[2];
	char ready[64];

	g_ptr_array_add(args, g_strdup("relay"));
	for (unsigned i = 0; i < config->nodes * config->nodes; i++) {
		g_ptr_array_add(args, g_strdup("--listen"));
		g_ptr_array_add(args, g_strdup_printf("127.0.0.1:%u", cluster->relay_port + i));
		g_ptr_array_add(args, g_strdup("--to"));
		g_ptr_array_add(args, g_strdup_printf("127.0.0.1:%u",
						      cluster->nodes[i % config->nodes].peer_port));
	}
	g_ptr_array_add(args, NULL);
	assert_int_equal(pipe2(in, O_CLOEXEC), 0);
	assert_int_equal(pipe2(out, O_CLOEXEC), 0);
	cluster->relay =
		spawn(cluster, (char **)args->pdata, log, NULL, (const int[]){in[0], out[1]});
	close(in[0]);
	close(out[1]);
	cluster->relay_in = in[1];
	cluster->relay_out = out[0];
	assert_true(read(out[0], ready, sizeof(ready)) > 0);
	g_ptr_array_free(args, TRUE);
	g_free(log);
}

void cluster_relay(cluster_t *cluster, const char *command)
{
	char *line = g_strdup_printf("%s\n", command);
	char answer[64];
	ssize_t got;

	assert_int_equal(write(cluster->relay_in, line, strlen(line)), (ssize_t)strlen(line));
	got = read(cluster->relay_out, answer, sizeof(answer));
	if (got < 2 || strncmp(answer, "ok", 2) != 0)
		fail_msg("relay refused: %s", command);
	g_free(line);
}

void cluster_relay_centres(cluster_t *cluster, const char *command, const char *a, const char *b)
{
	for (unsigned i = 1; i <= cluster->config.nodes; i++) {
		for (unsigned j = 1; j <= cluster->config.nodes; j++) {
			const char *from = cluster->nodes[i - 1].data_centre;
			const char *to = cluster->nodes[j - 1].data_centre;
			char *line;

			if (!(strcmp(from, a) == 0 && strcmp(to, b) == 0) &&
			    !(strcmp(from, b) == 0 && strcmp(to, a) == 0))
				continue;
			line = g_strdup_printf("%s %u", command, cluster_link(cluster, i, j));
			cluster_relay(cluster, line);
			g_free(line);
		}
	}
}

static char *centre_entries(const cluster_t *cluster, const char *centre)
{
	GString *text = g_string_new(NULL);

	for (unsigned i = 0; i < cluster->config.nodes; i++) {
		const cluster_node_t *node = &cluster->nodes[i];

		if (centre == NULL || strcmp(node->data_centre, centre) == 0)
			g_string_append_printf(text, "%s127.0.0.1:%u", text->len == 0 ? "" : ",",
					       node->http_port);
	}
	return g_string_free(text, FALSE);
}

static bool emulator_answers(void *arg)
{
	json_t *targets = cluster_targets(arg);
	bool ok = targets != NULL;

	json_decref(targets);
	return ok;
}

void cluster_start_emulator(cluster_t *cluster)
{
	const cluster_config_t *config = &cluster->config;
	char *centres = g_strjoinv(",", cluster->centres);
	char *log = cluster_path(cluster, "emulator.log");
	GString *line = g_string_new("emulator");
	char **args;

	g_string_append_printf(
		line,
		" --targets %u --first-port %u --platform-port %u --control-port %u --organisation "
		"%s"
		" --pools %s --data-centres %s --service-ms %u --reboot-ms %u --journal %s",
		config->targets, cluster->target_port, cluster->platform_port,
		cluster->control_port, config->organisation ? config->organisation : "barid",
		config->pools ? config->pools : "backoffice", centres,
		config->service_ms == 0 ? 20 : config->service_ms,
		config->reboot_ms == 0 ? 500 : config->reboot_ms, cluster->journal);
	for (unsigned i = 0; i < config->data_centres; i++) {
		char *entries = centre_entries(cluster, cluster->centres[i]);

		g_string_append_printf(line, " --entries %s=%s", cluster->centres[i], entries);
		g_free(entries);
	}
	if (config->emulator_args != NULL)
		g_string_append_printf(line, " %s", config->emulator_args);
	args = g_strsplit(line->str, " ", 0);
	cluster->emulator = spawn(cluster, args, log, NULL, NULL);
	assert_true(cluster_wait(emulator_answers, cluster, START_LIMIT_MS));
	g_strfreev(args);
	g_string_free(line, TRUE);
	g_free(log);
	g_free(centres);
}

static bool nodes_answer(void *arg)
{
	const cluster_t *cluster = arg;
	bool ok = true;

	for (unsigned i = 1; ok && i <= cluster->config.nodes; i++) {
		long status;

		json_decref(cluster_get(cluster, i, "/healthz", &status));
		ok = status == 200;
	}
	return ok;
}

void cluster_start(cluster_t *cluster)
{
	if (cluster->config.relay)
		cluster_start_relay(cluster);
	if (cluster->config.targets > 0)
		cluster_start_emulator(cluster);
	for (unsigned i = 1; i <= cluster->config.nodes; i++) {
		if (cluster->nodes[i - 1].data_dir != NULL)
			cluster_init_node(cluster, i);
		cluster_start_node(cluster, i);
	}
	if (!cluster_wait(nodes_answer, cluster, START_LIMIT_MS))
		fail_msg("entry processes do not answer; logs are in %s", cluster->dir);
}

void cluster_destroy(cluster_t *cluster)
{
	for (unsigned i = 0; i < cluster->config.nodes; i++) {
		cluster_node_t *node = &cluster->nodes[i];

		end_process(&node->pid);
		g_free(node->settings);
		g_free(node->data_dir);
		g_free(node->log);
	}
	end_process(&cluster->emulator);
	end_process(&cluster->relay);
	if (cluster->config.relay) {
		close(cluster->relay_in);
		close(cluster->relay_out);
	}
	if (getenv("LAVENDERPASS_KEEP") == NULL)
		delete_tree(cluster->dir);
	for (unsigned i = 0; i < CLUSTER_CENTRES_MAX; i++)
		g_free(cluster->centres[i]);
	g_free(cluster->journal);
	g_free(cluster->build);
	g_free(cluster->dir);
	g_free(cluster);
}

pid_t cluster_load_start(cluster_t *cluster, const char *name, const char *const *args)
{
	GPtrArray *line = g_ptr_array_new();
	char *entries = centre_entries(cluster, NULL);
	char *journal = g_strdup_printf("%s/%s.journal", cluster->dir, name);
	char *summary = g_strdup_printf("%s/%s.json", cluster->dir, name);
	char *log = g_strdup_printf("%s/%s.log", cluster->dir, name);
	const char *const first[] = {"load", "--entries", entries, "--journal", journal};
	pid_t pid;

	for (size_t i = 0; i < G_N_ELEMENTS(first); i++)
		g_ptr_array_add(line, (gpointer)first[i]);
	for (size_t i = 0; args[i] != NULL; i++)
		g_ptr_array_add(line, (gpointer)args[i]);
	g_ptr_array_add(line, NULL);
	pid = spawn(cluster, (char **)line->pdata, log, summary, NULL);
	g_ptr_array_free(line, TRUE);
	g_free(entries);
	g_free(journal);
	g_free(summary);
	g_free(log);
	return pid;
}

json_t *cluster_load_wait(cluster_t *cluster, const char *name, pid_t pid, unsigned limit_ms)
{
	char *file = g_strdup_printf("%s/%s.json", cluster->dir, name);
	json_t *summary;

	if (wait_end(pid, limit_ms) < 0) {
		end_process(&pid);
		fail_msg("load %s did not end within %u ms", name, limit_ms);
	}
	summary = json_load_file(file, 0, NULL);
	assert_non_null(summary);
	g_free(file);
	return summary;
}

int cluster_cli(cluster_t *cluster, const char *const *args, char **output)
{
	char *file = cluster_path(cluster, "cli.out");
	GPtrArray *line = g_ptr_array_new();
	int status;

	g_ptr_array_add(line, "lavenderpass");
	for (size_t i = 0; args[i] != NULL; i++)
		g_ptr_array_add(line, (gpointer)args[i]);
	g_ptr_array_add(line, NULL);
	(void)g_remove(file);
	status = wait_end(spawn(cluster, (char **)line->pdata, file, NULL, NULL), 60000);
	if (output != NULL)
		(void)g_file_get_contents(file, output, NULL, NULL);
	g_ptr_array_free(line, TRUE);
	g_free(file);
	return status;
}
