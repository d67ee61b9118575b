/*
 * A policy service that handles one call at a time for each calling process, with real processes:
 * the jobs of a burst start in time because the processes share the calls.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <dirent.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>

#include "clock.h"
#include "lib_role_vm.h"

#define MEMORY_MIB 256
#define CALLERS (ROLES_CORES + 1)
/* Time after the end of the traffic at which the users ask for the jobs. */
#define FINISH_MS 14000
#define JOBS 30
#define FREEZE_MS 6000
#define ADDRESS_MAX 32

static const roles_advice_t advice = {.decide_ms = 1000, .per_vm_ms = 50, .valid_ms = 3000};
static roles_t roles;

/* --- the policy service --- */

typedef struct {
	pid_t pid;
	unsigned calls;	       /* number of calls since the start of the case */
	uint64_t next_turn;    /* turn of the next call of the process */
	uint64_t handled_turn; /* turn that is being handled */
} caller_t;

static struct MHD_Daemon *policy;
static GMutex lock;
static GCond turn_ended;
static caller_t callers[CALLERS];
static bool stopping;

static bool owns_socket(pid_t pid, unsigned long inode)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/fd", (int)pid);
	g_autofree char *wanted = g_strdup_printf("socket:[%lu]", inode);
	DIR *folder = opendir(path);
	const struct dirent *entry;
	bool found = false;

	while (folder != NULL && !found && (entry = readdir(folder)) != NULL) {
		g_autofree char *link = g_strdup_printf("%s/%s", path, entry->d_name);
		char target[64] = "";

		if (readlink(link, target, sizeof(target) - 1) > 0)
			found = strcmp(target, wanted) == 0;
	}
	if (folder != NULL)
		closedir(folder);
	return found;
}

/* @return inode of the socket at the other end of a connection, 0: unknown */
static unsigned long find_inode(uint16_t port)
{
	char line[256];
	unsigned long found = 0;
	FILE *file = fopen("/proc/net/tcp", "re");

	while (file != NULL && found == 0 && fgets(line, sizeof(line), file) != NULL) {
		g_auto(GStrv) words = g_strsplit_set(g_strstrip(line), " ", -1);
		const char *local = words[0] != NULL ? words[1] : NULL;
		const char *colon = local != NULL ? strchr(local, ':') : NULL;
		unsigned column = 0;

		if (colon == NULL || strtoul(colon + 1, NULL, 16) != port)
			continue;
		for (unsigned i = 0; words[i] != NULL && found == 0; i++) {
			if (words[i][0] != '\0' && column++ == 9)
				found = strtoul(words[i], NULL, 10);
		}
	}
	if (file != NULL)
		(void)fclose(file);
	return found;
}

static caller_t *find_caller(struct MHD_Connection *connection)
{
	const struct sockaddr_in *address = (const struct sockaddr_in *)MHD_get_connection_info(
						    connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS)
						    ->client_addr;
	unsigned long inode = find_inode(ntohs(address->sin_port));

	for (unsigned i = 0; i < CALLERS; i++) {
		if (inode != 0 && owns_socket(callers[i].pid, inode))
			return &callers[i];
	}
	return NULL;
}

/* Waits for the turn of the call among those of its process. */
static void work(caller_t *caller, uint64_t work_us)
{
	uint64_t turn;

	g_mutex_lock(&lock);
	turn = caller->next_turn++;
	caller->calls++;
	while (caller->handled_turn != turn && !stopping)
		g_cond_wait_until(&turn_ended, &lock, g_get_monotonic_time() + 20000);
	g_mutex_unlock(&lock);
	if (!stopping)
		g_usleep(work_us);
	g_mutex_lock(&lock);
	caller->handled_turn++;
	g_cond_broadcast(&turn_ended);
	g_mutex_unlock(&lock);
}

static enum MHD_Result reply(struct MHD_Connection *connection, unsigned status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);
	struct MHD_Response *response =
		MHD_create_response_from_buffer(strlen(text), text, MHD_RESPMEM_MUST_FREE);
	enum MHD_Result result = MHD_queue_response(connection, status, response);

	MHD_destroy_response(response);
	json_decref(body);
	return result;
}

static enum MHD_Result on_policy_call(void *arg, struct MHD_Connection *connection, const char *url,
				      const char *method, const char *version, const char *data,
				      size_t *size, void **state)
{
	GString *text = *state;
	json_t *body;
	json_t *rows;
	const json_t *vms;
	caller_t *caller;

	if (text == NULL) {
		*state = g_string_new(NULL);
		return MHD_YES;
	}
	if (*size > 0) {
		g_string_append_len(text, data, (gssize)*size);
		*size = 0;
		return MHD_YES;
	}
	body = json_loads(text->str, 0, NULL);
	vms = json_object_get(body, "workers");
	rows = json_array();
	for (size_t i = 0; i < json_array_size(vms); i++)
		json_array_append_new(rows, json_pack("[O, s]", json_array_get(vms, i), "ticket"));
	caller = find_caller(connection);
	if (caller != NULL)
		work(caller, ((uint64_t)advice.decide_ms +
			      (uint64_t)advice.per_vm_ms * json_array_size(vms)) *
				     US_PER_MS);
	json_decref(body);
	return reply(connection, caller != NULL ? 200 : 500, json_pack("{s:o}", "allowed", rows));
}

static void on_policy_call_end(void *arg, struct MHD_Connection *connection, void **state,
			       enum MHD_RequestTerminationCode code)
{
	if (*state != NULL)
		g_string_free(*state, TRUE);
}

static bool start_policy(void)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_port = htons((uint16_t)(roles.port_base + 14))};
	char ip[ADDRESS_MAX];

	g_snprintf(ip, sizeof(ip), "127.%u.4.1", roles.network);
	inet_pton(AF_INET, ip, &address.sin_addr);
	for (unsigned i = 0; i < ROLES_CORES; i++)
		callers[i].pid = roles.cores[i].pid;
	callers[ROLES_CORES].pid = roles.edge.pid;
	policy = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
				  0, NULL, NULL, on_policy_call, NULL, MHD_OPTION_SOCK_ADDR,
				  &address, MHD_OPTION_NOTIFY_COMPLETED, on_policy_call_end, NULL,
				  MHD_OPTION_END);
	return policy != NULL;
}

/* --- cases --- */

static int set_up(void **state)
{
	const roles_config_t config = {.core_memory_mib = MEMORY_MIB,
				       .edge_memory_mib = MEMORY_MIB};
	const roles_queue_t queue = {.prefix = "/q/", .service = "svc", .advice = &advice};

	if (roles_start(&roles, &config) != 0 || role_vm_start(&roles) != 0 || !start_policy())
		return -1;
	roles_configure(&roles, &queue, 1);
	role_vm_run_until(clock_now_us() + 2 * US_PER_S);
	return 0;
}

static int tear_down(void **state)
{
	g_mutex_lock(&lock);
	stopping = true;
	g_mutex_unlock(&lock);
	MHD_stop_daemon(policy);
	role_vm_stop();
	return roles_stop(&roles);
}

static void submit_burst(unsigned first, unsigned jobs)
{
	for (unsigned i = 0; i < CALLERS; i++)
		callers[i].calls = 0;
	for (unsigned i = 0; i < jobs; i++) {
		g_autofree char *id = g_strdup_printf("%016x", first + i);

		role_vm_submit(id, 2, 250, false);
	}
}

/* Checks that each job of a burst runs when the users ask for it, and ends them. */
static void check_burst(unsigned first, unsigned jobs, uint64_t submitted_us)
{
	role_vm_run_until(submitted_us + FINISH_MS * US_PER_MS);
	for (unsigned i = 0; i < CALLERS; i++)
		print_message("process %u has made %u calls\n", i, callers[i].calls);
	for (unsigned i = 0; i < jobs; i++) {
		g_autofree char *id = g_strdup_printf("%016x", first + i);

		assert_true(role_vm_has_started(id));
		assert_int_equal(role_vm_call_edge("DELETE", id, NULL), 200);
	}
	role_vm_run_until(clock_now_us() + 2 * US_PER_S);
	assert_int_equal(role_vm.runs->len, 0);
}

/* Guards against a leader that makes all calls alone: those of a burst take longer than the users
 * wait. */
static void test_processes_share_the_calls_of_a_burst(void **state)
{
	submit_burst(0xa000, JOBS);
	check_burst(0xa000, JOBS, clock_now_us());
	for (unsigned i = 0; i < CALLERS; i++)
		assert_true(callers[i].calls > 0);
}

static void freeze(pid_t pid, uint64_t ms)
{
	kill(pid, SIGSTOP);
	role_vm_run_until(clock_now_us() + ms * US_PER_MS);
	kill(pid, SIGCONT);
}

/* Guards against jobs that wait for a process which is frozen while it makes their calls. */
static void test_process_freezes_during_its_calls(void **state)
{
	const role_process_t *leader = roles_find_leader(&roles);
	uint64_t submitted_us;

	submit_burst(0xb000, JOBS / 2);
	submitted_us = clock_now_us();
	role_vm_run_until(submitted_us + 500 * US_PER_MS);
	freeze(roles.cores[leader == &roles.cores[0] ? 1 : 0].pid, FREEZE_MS);
	check_burst(0xb000, JOBS / 2, submitted_us);
}

/* Guards against calls of an earlier leader that a new one waits for, or that hold up its own. */
static void test_leader_freezes_during_a_burst(void **state)
{
	uint64_t submitted_us;

	submit_burst(0xc000, JOBS / 2);
	submitted_us = clock_now_us();
	freeze(roles_find_leader(&roles)->pid, FREEZE_MS);
	check_burst(0xc000, JOBS / 2, submitted_us);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_processes_share_the_calls_of_a_burst),
		cmocka_unit_test(test_process_freezes_during_its_calls),
		cmocka_unit_test(test_leader_freezes_during_a_burst),
	};

	return cmocka_run_group_tests(tests, set_up, tear_down);
}
