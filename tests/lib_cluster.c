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
#define START_TIMEOUT_MS 20000
#define EXIT_TIMEOUT_MS 5000
/* Range of the ports that tests use; below the ephemeral ports, from which the kernel chooses the
 * local ports of outgoing connections. */
#define PORT_MIN 10000
#define PORT_MAX 30000

extern char **environ;

static bool port_is_free(uint16_t port)
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

/* Finds `count` consecutive free ports. @return the first one */
static uint16_t find_free_ports(unsigned count)
{
	for (unsigned attempt = 0; attempt < 200; attempt++) {
		uint16_t first = (uint16_t)g_random_int_range(PORT_MIN, PORT_MAX - (gint32)count);
		unsigned free_count = 0;

		while (free_count < count && port_is_free((uint16_t)(first + free_count)))
			free_count++;
		if (free_count == count)
			return first;
	}
	fail_msg("no %u consecutive free ports", count);
	return 0;
}

char *cluster_path(const cluster_t *cluster, const char *name)
{
	return g_build_filename(cluster->dir, name, NULL);
}

unsigned cluster_relay_link(const cluster_t *cluster, unsigned from, unsigned to)
{
	return (from - 1) * cluster->config.nodes + to - 1;
}

static void write_settings(cluster_t *cluster, unsigned node)
{
	const cluster_config_t *config = &cluster->config;
	const cluster_node_t *this_node = &cluster->nodes[node - 1];
	GString *yaml = g_string_new("cluster: test\n");

	g_string_append_printf(yaml,
			       "node: %u\ndata_centre: %s\nlisten_http: 127.0.0.1:%u\n"
			       "listen_peer: 127.0.0.1:%u\nplatform: http://127.0.0.1:%u\n"
			       "voters: [1",
			       node, this_node->data_centre, this_node->http_port,
			       this_node->peer_port, cluster->platform_port);
	for (unsigned i = 2; i <= config->voters; i++)
		g_string_append_printf(yaml, ", %u", i);
	g_string_append(yaml, "]\npeers:\n");
	for (unsigned i = 1; i <= config->nodes; i++) {
		unsigned port = cluster->nodes[i - 1].peer_port;

		if (config->use_relay)
			port = cluster->first_relay_port + cluster_relay_link(cluster, node, i);
		g_string_append_printf(yaml,
				       "  - {node: %u, address: '127.0.0.1:%u', data_centre: %s}\n",
				       i, port, cluster->nodes[i - 1].data_centre);
	}
	if (this_node->data_dir != NULL)
		g_string_append_printf(yaml, "data_dir: %s\n", this_node->data_dir);
	if (config->timing != NULL)
		g_string_append_printf(yaml, "timing:\n%s\n", config->timing);
	if (config->extra_settings != NULL)
		g_string_append_printf(yaml, "%s\n", config->extra_settings);
	assert_true(g_file_set_contents(this_node->settings_file, yaml->str, -1, NULL));
	g_string_free(yaml, TRUE);
}

/* Returns the path DIR/node-N followed by suffix, to be freed with g_free(). */
static char *node_path(const cluster_t *cluster, unsigned node, const char *suffix)
{
	return g_strdup_printf("%s/node-%u%s", cluster->dir, node, suffix);
}

static void assign_ports(cluster_t *cluster)
{
	const cluster_config_t *config = &cluster->config;
	unsigned links = config->use_relay ? config->nodes * config->nodes : 0;
	uint16_t port = find_free_ports(2 * config->nodes + 2 + links + config->targets);

	for (unsigned i = 0; i < config->nodes; i++) {
		cluster->nodes[i].http_port = port++;
		cluster->nodes[i].peer_port = port++;
	}
	cluster->platform_port = port++;
	cluster->control_port = port++;
	cluster->first_relay_port = port;
	cluster->first_target_port = (uint16_t)(port + links);
}

cluster_t *cluster_create(const cluster_config_t *config)
{
	const char *build = getenv("LAVENDERPASS_BUILD");
	cluster_t *cluster = g_new0(cluster_t, 1);

	assert_in_range(config->nodes, 0, CLUSTER_NODES_MAX);
	assert_in_range(config->data_centres, 1, CLUSTER_DATA_CENTRES_MAX);
	cluster->config = *config;
	cluster->build_dir = g_strdup(build == NULL ? "build/release" : build);
	cluster->dir = g_dir_make_tmp("lavenderpass-XXXXXX", NULL);
	assert_non_null(cluster->dir);
	cluster->emulator_journal = cluster_path(cluster, "emulator.journal");
	assign_ports(cluster);
	for (unsigned i = 0; i < config->data_centres; i++)
		cluster->dc_names[i] = g_strdup_printf("dc-%c", 'a' + (int)i);
	for (unsigned i = 1; i <= config->nodes; i++) {
		cluster_node_t *node = &cluster->nodes[i - 1];

		node->settings_file = node_path(cluster, i, ".yaml");
		node->log_file = node_path(cluster, i, ".log");
		node->data_dir = i <= config->voters ? node_path(cluster, i, ".data") : NULL;
		node->data_centre = cluster->dc_names[(i - 1) % MAX(config->data_centres, 1)];
	}
	for (unsigned i = 1; i <= config->nodes; i++)
		write_settings(cluster, i);
	return cluster;
}

/* Pids of the child processes that have not been reaped; unused elements are 0. */
static pid_t unreaped[64];

/* Kills the remaining child processes at exit, because cmocka runs no teardown after a failed
 * setup. */
static void kill_unreaped(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(unreaped); i++) {
		if (unreaped[i] != 0)
			(void)kill(unreaped[i], SIGKILL);
	}
}

/* Replaces the first element of unreaped that equals `old`. With 0 as `old` it adds a process, with
 * 0 as `new` it removes one. */
static void replace_unreaped(pid_t old, pid_t new)
{
	static bool registered;

	if (!registered)
		(void)atexit(kill_unreaped);
	registered = true;
	for (size_t i = 0; i < G_N_ELEMENTS(unreaped); i++) {
		if (unreaped[i] == old) {
			unreaped[i] = new;
			return;
		}
	}
	fail_msg("more than %zu child processes", G_N_ELEMENTS(unreaped));
}

/* Starts a program from the build directory. Standard error is appended to log_file.
 * @param args arguments; args[0] is the name of the program
 * @param stdout_file file for standard output, or NULL for log_file; not used with pipes
 * @param pipes file descriptors for standard input and output, or NULL to use /dev/null as standard
 * input
 * @return pid */
static pid_t spawn_program(cluster_t *cluster, char *const *args, const char *log_file,
			   const char *stdout_file, const int *pipes)
{
	char *program = g_build_filename(cluster->build_dir, args[0], NULL);
	const int append = O_CREAT | O_APPEND | O_WRONLY;
	posix_spawn_file_actions_t actions;
	pid_t pid;
	int error;

	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(&actions, 2, log_file, append, 0600);
	if (pipes != NULL) {
		posix_spawn_file_actions_adddup2(&actions, pipes[0], 0);
		posix_spawn_file_actions_adddup2(&actions, pipes[1], 1);
	} else {
		posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
		posix_spawn_file_actions_addopen(
			&actions, 1, stdout_file == NULL ? log_file : stdout_file, append, 0600);
	}
	error = posix_spawn(&pid, program, &actions, NULL, args, environ);
	posix_spawn_file_actions_destroy(&actions);
	if (error != 0)
		fail_msg("%s: %s", program, strerror(error));
	replace_unreaped(0, pid);
	g_free(program);
	return pid;
}

/* Waits until a child process has exited.
 * @return exit status, 128 + signal, or -1 on timeout or error */
static int wait_exit(pid_t pid, unsigned timeout_ms)
{
	gint64 deadline_us = g_get_monotonic_time() + (gint64)timeout_ms * 1000;
	int status = 0;

	for (;;) {
		pid_t reaped = waitpid(pid, &status, WNOHANG);

		if (reaped == pid) {
			replace_unreaped(pid, 0);
			return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
		}
		if (reaped < 0 || g_get_monotonic_time() > deadline_us)
			return -1;
		g_usleep(POLL_US / 4);
	}
}

static void stop_process(pid_t *pid)
{
	if (*pid == 0)
		return;
	(void)kill(*pid, SIGCONT);
	(void)kill(*pid, SIGTERM);
	if (wait_exit(*pid, EXIT_TIMEOUT_MS) < 0) {
		(void)kill(*pid, SIGKILL);
		(void)wait_exit(*pid, EXIT_TIMEOUT_MS);
	}
	*pid = 0;
}

static cluster_node_t *get_node(cluster_t *cluster, unsigned node)
{
	assert_in_range(node, 1, cluster->config.nodes);
	return &cluster->nodes[node - 1];
}

void cluster_init_node(cluster_t *cluster, unsigned node)
{
	cluster_node_t *this_node = get_node(cluster, node);
	char *args[] = {"lavenderpass",		  "init",    "--settings",
			this_node->settings_file, "--first", NULL};

	assert_int_equal(g_mkdir_with_parents(this_node->data_dir, 0700), 0);
	assert_int_equal(wait_exit(spawn_program(cluster, args, this_node->log_file, NULL, NULL),
				   START_TIMEOUT_MS),
			 0);
}

void cluster_start_node(cluster_t *cluster, unsigned node)
{
	cluster_node_t *this_node = get_node(cluster, node);
	char *args[] = {"lavenderpass", "serve", "--settings", this_node->settings_file, NULL};

	assert_int_equal(this_node->pid, 0);
	if (this_node->data_dir != NULL)
		assert_int_equal(g_mkdir_with_parents(this_node->data_dir, 0700), 0);
	this_node->pid = spawn_program(cluster, args, this_node->log_file, NULL, NULL);
}

void cluster_signal_node(cluster_t *cluster, unsigned node, int signal)
{
	const cluster_node_t *this_node = get_node(cluster, node);

	assert_int_not_equal(this_node->pid, 0);
	assert_int_equal(kill(this_node->pid, signal), 0);
}

void cluster_kill_node(cluster_t *cluster, unsigned node)
{
	cluster_signal_node(cluster, node, SIGKILL);
	(void)cluster_wait_node_exit(cluster, node, EXIT_TIMEOUT_MS);
}

int cluster_wait_node_exit(cluster_t *cluster, unsigned node, unsigned timeout_ms)
{
	cluster_node_t *this_node = get_node(cluster, node);
	int status = wait_exit(this_node->pid, timeout_ms);

	if (status >= 0)
		this_node->pid = 0;
	return status;
}

/* Deletes a file, or a directory with its contents. Symbolic links are deleted, not followed. */
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
	const cluster_node_t *this_node = get_node(cluster, node);

	assert_int_equal(this_node->pid, 0);
	assert_non_null(this_node->data_dir);
	delete_tree(this_node->data_dir);
}

void cluster_start_relay(cluster_t *cluster)
{
	const cluster_config_t *config = &cluster->config;
	GPtrArray *args = g_ptr_array_new_with_free_func(g_free);
	char *log_file = cluster_path(cluster, "relay.log");
	int stdin_pipe[2];
	int stdout_pipe[2];
	char ready[64];

	g_ptr_array_add(args, g_strdup("relay"));
	for (unsigned i = 0; i < config->nodes * config->nodes; i++) {
		g_ptr_array_add(args, g_strdup("--listen"));
		g_ptr_array_add(args,
				g_strdup_printf("127.0.0.1:%u", cluster->first_relay_port + i));
		g_ptr_array_add(args, g_strdup("--to"));
		g_ptr_array_add(args, g_strdup_printf("127.0.0.1:%u",
						      cluster->nodes[i % config->nodes].peer_port));
	}
	g_ptr_array_add(args, NULL);
	assert_int_equal(pipe2(stdin_pipe, O_CLOEXEC), 0);
	assert_int_equal(pipe2(stdout_pipe, O_CLOEXEC), 0);
	cluster->relay_pid = spawn_program(cluster, (char **)args->pdata, log_file, NULL,
					   (const int[]){stdin_pipe[0], stdout_pipe[1]});
	close(stdin_pipe[0]);
	close(stdout_pipe[1]);
	cluster->relay_stdin = stdin_pipe[1];
	cluster->relay_stdout = stdout_pipe[0];
	assert_true(read(stdout_pipe[0], ready, sizeof(ready)) > 0);
	g_ptr_array_free(args, TRUE);
	g_free(log_file);
}

void cluster_relay_command(cluster_t *cluster, const char *command)
{
	char *line = g_strdup_printf("%s\n", command);
	char reply[64];
	ssize_t length;

	assert_int_equal(write(cluster->relay_stdin, line, strlen(line)), (ssize_t)strlen(line));
	length = read(cluster->relay_stdout, reply, sizeof(reply));
	if (length < 2 || strncmp(reply, "ok", 2) != 0)
		fail_msg("relay rejected the command: %s", command);
	g_free(line);
}

void cluster_relay_data_centres(cluster_t *cluster, const char *command, const char *dc_a,
				const char *dc_b)
{
	for (unsigned i = 1; i <= cluster->config.nodes; i++) {
		for (unsigned j = 1; j <= cluster->config.nodes; j++) {
			const char *from = cluster->nodes[i - 1].data_centre;
			const char *to = cluster->nodes[j - 1].data_centre;
			char *link_command;

			if (!(strcmp(from, dc_a) == 0 && strcmp(to, dc_b) == 0) &&
			    !(strcmp(from, dc_b) == 0 && strcmp(to, dc_a) == 0))
				continue;
			link_command = g_strdup_printf("%s %u", command,
						       cluster_relay_link(cluster, i, j));
			cluster_relay_command(cluster, link_command);
			g_free(link_command);
		}
	}
}

/* Returns the HTTP addresses of the entry processes in a data centre, or of all for NULL, separated
 * by commas; to be freed with g_free(). */
static char *join_http_addresses(const cluster_t *cluster, const char *data_centre)
{
	GString *addresses = g_string_new(NULL);

	for (unsigned i = 0; i < cluster->config.nodes; i++) {
		const cluster_node_t *node = &cluster->nodes[i];

		if (data_centre == NULL || strcmp(node->data_centre, data_centre) == 0)
			g_string_append_printf(addresses, "%s127.0.0.1:%u",
					       addresses->len == 0 ? "" : ",", node->http_port);
	}
	return g_string_free(addresses, FALSE);
}

static bool emulator_ready(void *arg)
{
	json_t *targets = cluster_get_targets(arg);
	bool ready = targets != NULL;

	json_decref(targets);
	return ready;
}

void cluster_start_emulator(cluster_t *cluster)
{
	const cluster_config_t *config = &cluster->config;
	char *dc_names = g_strjoinv(",", cluster->dc_names);
	char *log_file = cluster_path(cluster, "emulator.log");
	GString *command_line = g_string_new("emulator");
	char **args;

	g_string_append_printf(
		command_line,
		" --targets %u --first-port %u --platform-port %u --control-port %u --organisation "
		"%s"
		" --pools %s --data-centres %s --service-ms %u --reboot-ms %u --journal %s",
		config->targets, cluster->first_target_port, cluster->platform_port,
		cluster->control_port, config->organisation ? config->organisation : "barid",
		config->pools ? config->pools : "backoffice", dc_names,
		config->service_ms == 0 ? 20 : config->service_ms,
		config->reboot_ms == 0 ? 500 : config->reboot_ms, cluster->emulator_journal);
	for (unsigned i = 0; i < config->data_centres; i++) {
		char *addresses = join_http_addresses(cluster, cluster->dc_names[i]);

		g_string_append_printf(command_line, " --entries %s=%s", cluster->dc_names[i],
				       addresses);
		g_free(addresses);
	}
	if (config->emulator_args != NULL)
		g_string_append_printf(command_line, " %s", config->emulator_args);
	args = g_strsplit(command_line->str, " ", 0);
	cluster->emulator_pid = spawn_program(cluster, args, log_file, NULL, NULL);
	assert_true(cluster_wait_until(emulator_ready, cluster, START_TIMEOUT_MS));
	g_strfreev(args);
	g_string_free(command_line, TRUE);
	g_free(log_file);
	g_free(dc_names);
}

static bool all_nodes_ready(void *arg)
{
	const cluster_t *cluster = arg;
	bool ready = true;

	for (unsigned i = 1; ready && i <= cluster->config.nodes; i++) {
		long status;

		json_decref(cluster_get(cluster, i, "/healthz", &status));
		ready = status == 200;
	}
	return ready;
}

void cluster_start(cluster_t *cluster)
{
	if (cluster->config.use_relay)
		cluster_start_relay(cluster);
	if (cluster->config.targets > 0)
		cluster_start_emulator(cluster);
	for (unsigned i = 1; i <= cluster->config.nodes; i++) {
		if (cluster->nodes[i - 1].data_dir != NULL)
			cluster_init_node(cluster, i);
		cluster_start_node(cluster, i);
	}
	if (!cluster_wait_until(all_nodes_ready, cluster, START_TIMEOUT_MS))
		fail_msg("entry processes did not become ready; logs are in %s", cluster->dir);
}

void cluster_destroy(cluster_t *cluster)
{
	for (unsigned i = 0; i < cluster->config.nodes; i++) {
		cluster_node_t *node = &cluster->nodes[i];

		stop_process(&node->pid);
		g_free(node->settings_file);
		g_free(node->data_dir);
		g_free(node->log_file);
	}
	stop_process(&cluster->emulator_pid);
	stop_process(&cluster->relay_pid);
	if (cluster->config.use_relay) {
		close(cluster->relay_stdin);
		close(cluster->relay_stdout);
	}
	if (getenv("LAVENDERPASS_KEEP") == NULL)
		delete_tree(cluster->dir);
	for (unsigned i = 0; i < CLUSTER_DATA_CENTRES_MAX; i++)
		g_free(cluster->dc_names[i]);
	g_free(cluster->emulator_journal);
	g_free(cluster->build_dir);
	g_free(cluster->dir);
	g_free(cluster);
}

pid_t cluster_load_start(cluster_t *cluster, const char *name, const char *const *args)
{
	GPtrArray *argv = g_ptr_array_new();
	char *addresses = join_http_addresses(cluster, NULL);
	char *journal_file = g_strdup_printf("%s/%s.journal", cluster->dir, name);
	char *summary_file = g_strdup_printf("%s/%s.json", cluster->dir, name);
	char *log_file = g_strdup_printf("%s/%s.log", cluster->dir, name);
	const char *const leading_args[] = {"load", "--entries", addresses, "--journal",
					    journal_file};
	pid_t pid;

	for (size_t i = 0; i < G_N_ELEMENTS(leading_args); i++)
		g_ptr_array_add(argv, (gpointer)leading_args[i]);
	for (size_t i = 0; args[i] != NULL; i++)
		g_ptr_array_add(argv, (gpointer)args[i]);
	g_ptr_array_add(argv, NULL);
	pid = spawn_program(cluster, (char **)argv->pdata, log_file, summary_file, NULL);
	g_ptr_array_free(argv, TRUE);
	g_free(addresses);
	g_free(journal_file);
	g_free(summary_file);
	g_free(log_file);
	return pid;
}

json_t *cluster_load_wait(cluster_t *cluster, const char *name, pid_t pid, unsigned timeout_ms)
{
	char *summary_file = g_strdup_printf("%s/%s.json", cluster->dir, name);
	json_t *summary;

	if (wait_exit(pid, timeout_ms) < 0) {
		stop_process(&pid);
		fail_msg("load tool run %s did not exit within %u ms", name, timeout_ms);
	}
	summary = json_load_file(summary_file, 0, NULL);
	assert_non_null(summary);
	g_free(summary_file);
	return summary;
}

int cluster_run_cli(cluster_t *cluster, const char *const *args, char **output)
{
	char *output_file = cluster_path(cluster, "cli.out");
	GPtrArray *argv = g_ptr_array_new();
	int status;

	g_ptr_array_add(argv, "lavenderpass");
	for (size_t i = 0; args[i] != NULL; i++)
		g_ptr_array_add(argv, (gpointer)args[i]);
	g_ptr_array_add(argv, NULL);
	(void)g_remove(output_file);
	status = wait_exit(spawn_program(cluster, (char **)argv->pdata, output_file, NULL, NULL),
			   60000);
	if (output != NULL)
		(void)g_file_get_contents(output_file, output, NULL, NULL);
	g_ptr_array_free(argv, TRUE);
	g_free(output_file);
	return status;
}
