#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>

#include "lib_cluster.h"
#include "lib_roles.h"

#define START_MAX_MS 30000

static void write_settings(const roles_t *roles, const role_process_t *process, bool core,
			   unsigned memory_mib)
{
	g_autofree char *text = g_strdup_printf(
		"nodeName=%s\nip=%s\nzone=z\nportRange=%u,%u\nseeds=127.%u.1.1:%u,127.%u.1.2:%u,"
		"127.%u.1.3:%u\nbootstrap=true\nheartbeatMs=500\nfaultTolerance.machines=1\n"
		"limits.memoryMb=%u\nlimits.maxFds=4096\nadvice=127.%u.4.1:%u\n",
		process->ip, process->ip, roles->port_base, roles->port_base + 9, roles->network,
		roles->control_port, roles->network, roles->control_port, roles->network,
		roles->control_port, memory_mib, roles->network, roles->port_base + 14);
	g_autofree char *role =
		core ? g_strdup_printf("dataDir=%s\nlisten.control=%s:%u\n", process->data_dir,
				       process->ip, roles->control_port)
		     : g_strdup_printf("listen.front=%s:%u\nlisten.ready=%s:%u\n", process->ip,
				       roles->front_port, process->ip, roles->port_base + 11);
	g_autofree char *all = g_strconcat(text, role, NULL);

	assert_true(g_file_set_contents(process->settings, all, -1, NULL));
}

pid_t roles_spawn(const char *settings, const char *role)
{
	const char *build = getenv("LAVENDERPASS_BUILD");
	g_autofree char *program =
		g_strdup_printf("%s/lavenderpass", build != NULL ? build : "build/release");
	g_autofree char *log = g_strconcat(settings, ".log", NULL);
	pid_t pid = fork();

	assert_true(pid >= 0);
	if (pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		setenv("LAVENDERPASS_SETTINGS", settings, 1);
		execl(program, "lavenderpass", role, (char *)NULL);
		_exit(127);
	}
	return pid;
}

static void init_role(const roles_t *roles, role_process_t *process, bool core, unsigned number,
		      unsigned memory_mib)
{
	g_snprintf(process->ip, sizeof(process->ip), "127.%u.%d.%u", roles->network, core ? 1 : 2,
		   number);
	process->settings = g_strdup_printf("%s/%s", roles->dir, process->ip);
	process->data_dir = g_strdup_printf("%s/data-%s", roles->dir, process->ip);
	process->url = g_strdup_printf("http://%s:%u", process->ip,
				       core ? roles->control_port : roles->front_port);
	write_settings(roles, process, core, memory_mib);
	process->pid = roles_spawn(process->settings, core ? "core" : "edge");
}

static json_t *make_config(const roles_t *roles, const roles_queue_t *queues, unsigned count)
{
	json_t *routes = json_array();
	json_t *services = json_array();

	for (unsigned i = 0; i < count; i++) {
		const roles_advice_t *advice = queues[i].advice;
		json_t *route =
			json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:f}", "name",
				  queues[i].prefix, "host", roles->edge.ip, "prefix",
				  queues[i].prefix, "service", queues[i].service, "timeoutMs", 3000,
				  "sloMs", 600, "attempts", 3, "stretch", 1.6);

		if (advice != NULL)
			json_object_set_new(route, "advice",
					    json_pack("{s:i, s:i, s:i}", "decideMs",
						      advice->decide_ms, "perWorkerMs",
						      advice->per_vm_ms, "validMs",
						      advice->valid_ms));
		json_array_append_new(routes, route);
		json_array_append_new(services,
				      json_pack("{s:s, s:b, s:b}", "name", queues[i].service,
						"admissionCheck", 1, "standby", 0));
	}
	return json_pack("{s:i, s:o, s:o}", "version", (int)roles->version, "routes", routes,
			 "services", services);
}

typedef struct {
	const char *url;
	const json_t *config;
} put_t;

static bool put_config(void *arg)
{
	const put_t *put = arg;
	long status = 0;

	json_decref(cluster_http("PUT", put->url, "/config", put->config, &status));
	return status == 200;
}

static bool try_configure(roles_t *roles, const roles_queue_t *queues, unsigned count)
{
	json_t *config;
	put_t put = {.url = roles->cores[0].url};
	bool acknowledged;

	roles->version++;
	config = make_config(roles, queues, count);
	put.config = config;
	acknowledged = cluster_wait_until(put_config, &put, START_MAX_MS);
	json_decref(config);
	return acknowledged;
}

void roles_configure(roles_t *roles, const roles_queue_t *queues, unsigned count)
{
	assert_true(try_configure(roles, queues, count));
}

static bool edge_answers(void *arg)
{
	const roles_t *roles = arg;
	long status = 0;

	json_decref(cluster_http("GET", roles->edge.url, "/q/", NULL, &status));
	return status == 200;
}

const role_process_t *roles_find_leader(const roles_t *roles)
{
	for (unsigned i = 0; i < ROLES_CORES; i++) {
		long status = 0;

		json_decref(cluster_http("GET", roles->cores[i].url, "/config", NULL, &status));
		if (status == 200)
			return &roles->cores[i];
	}
	return NULL;
}

static bool has_leader(void *arg)
{
	return roles_find_leader(arg) != NULL;
}

int roles_start(roles_t *roles, const roles_config_t *config)
{
	const roles_queue_t queue = {.prefix = "/q/", .service = "svc"};

	*roles = (roles_t){.network = 10 + (unsigned)getpid() % 200,
			   .port_base = 20000 + (unsigned)(getpid() % 1000) * 20};
	roles->front_port = (uint16_t)(roles->port_base + 10);
	roles->control_port = (uint16_t)(roles->port_base + 12);
	g_snprintf(roles->dir, sizeof(roles->dir), "/tmp/lp-roles-XXXXXX");
	if (g_mkdtemp(roles->dir) == NULL)
		return -1;
	for (unsigned i = 0; i < ROLES_CORES; i++)
		init_role(roles, &roles->cores[i], true, i + 1, config->core_memory_mib);
	init_role(roles, &roles->edge, false, 1, config->edge_memory_mib);
	return try_configure(roles, &queue, 1) &&
			       cluster_wait_until(edge_answers, roles, START_MAX_MS) &&
			       cluster_wait_until(has_leader, roles, START_MAX_MS)
		       ? 0
		       : -1;
}

static void stop_role(role_process_t *process)
{
	kill(process->pid, SIGKILL);
	waitpid(process->pid, NULL, 0);
	g_free(process->settings);
	g_free(process->data_dir);
	g_free(process->url);
}

int roles_stop(roles_t *roles)
{
	g_autofree char *command = g_strdup_printf("rm -rf '%s'", roles->dir);

	for (unsigned i = 0; i < ROLES_CORES; i++)
		stop_role(&roles->cores[i]);
	stop_role(&roles->edge);
	return system(command) == 0 ? 0 : -1;
}
