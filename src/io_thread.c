#define G_LOG_DOMAIN "io_thread"

#include "io_thread.h"

#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#include <glib.h>
#include <tevent.h>

#include "clock.h"
#include "http_client.h"
#include "proxy.h"
#include "timer.h"

#define CONNECTION_AGE_MAX_S 60
#define TICK_PERIOD_US (20 * US_PER_MS)

struct io_thread {
	io_thread_config_t config;
	pthread_t thread;
	struct tevent_context *ev;
	mailbox_t mailbox;
	timer_service_t timers;
	timer_sub_t tick;
	http_server_t server;
	http_client_t client;
	proxy_t *proxy;
	metrics_counter_t *malformed_total;
	/* Part of server.malformed that is already added to malformed_total. */
	uint64_t malformed_reported;
	atomic_bool busy; /* requests are in progress; read by other threads */
	atomic_bool drain_requested;
	bool stop_requested;
};

/* A request passed to the control thread. It has no pointer to the I/O thread, which can end
 * earlier. */
typedef struct {
	http_handler_fn handler;
	void *arg;
	http_request_t *request;
} control_request_t;

static void run_control_handler(void *arg)
{
	control_request_t *control_request = arg;

	control_request->handler(control_request->arg, control_request->request);
	g_free(control_request);
}

static void on_request(void *arg, http_request_t *request)
{
	io_thread_t *thread = arg;
	control_request_t *control_request;

	if (g_str_has_prefix(http_request_path(request), "/r/")) {
		proxy_handle_request(thread->proxy, request);
		return;
	}
	control_request = g_new(control_request_t, 1);
	*control_request = (control_request_t){
		.handler = thread->config.control_handler,
		.arg = thread->config.control_arg,
		.request = request,
	};
	mailbox_post(thread->config.control_mailbox, run_control_handler, control_request);
}

static void on_tick(void *arg, uint64_t now_us)
{
	io_thread_t *thread = arg;

	route_tick(thread->config.routes, now_us);
	metrics_add(thread->malformed_total, thread->server.malformed - thread->malformed_reported);
	thread->malformed_reported = thread->server.malformed;
}

static void update_busy(io_thread_t *thread)
{
	/* The thread is busy until the server has started to drain, because connections can still
	 * wait in the listen queue. */
	bool drain_pending = atomic_load(&thread->drain_requested) && !thread->server.draining;

	atomic_store(&thread->busy, drain_pending ||
					    http_server_open_requests(&thread->server) > 0 ||
					    proxy_request_count(thread->proxy) > 0);
}

static void *run_event_loop(void *arg)
{
	io_thread_t *thread = arg;

	while (!thread->stop_requested) {
		tevent_loop_once(thread->ev);
		update_busy(thread);
	}
	return NULL;
}

static int start_client_and_server(io_thread_t *thread)
{
	if (http_client_init(&thread->client, thread->ev, CONNECTION_AGE_MAX_S) != 0)
		return -1;
	if (http_server_init(&thread->server, thread->ev, &thread->config.server, on_request,
			     thread) != 0) {
		http_client_finish(&thread->client);
		return -1;
	}
	return 0;
}

static void start_proxy_and_tick(io_thread_t *thread)
{
	const proxy_config_t config = {
		.routes = thread->config.routes,
		.metrics = thread->config.metrics,
		.client = &thread->client,
		.mailbox = &thread->mailbox,
		.control_mailbox = thread->config.control_mailbox,
		.claims = thread->config.claims,
		.request_log = thread->config.request_log,
		.seed = thread->config.seed,
	};

	thread->proxy = proxy_create(&config);
	thread->malformed_total =
		metrics_counter(thread->config.metrics, "lavenderpass_malformed_total", "");
	timer_service_init(&thread->timers, thread->ev);
	timer_subscribe(&thread->timers, &thread->tick, TICK_PERIOD_US, on_tick, thread);
}

static void finish_components(io_thread_t *thread)
{
	timer_unsubscribe(&thread->timers, &thread->tick);
	timer_service_finish(&thread->timers);
	proxy_stop(thread->proxy);
	mailbox_finish(&thread->mailbox);
	proxy_destroy(thread->proxy);
	http_client_finish(&thread->client);
	http_server_finish(&thread->server);
}

io_thread_t *io_thread_start(const io_thread_config_t *config)
{
	io_thread_t *thread = g_new0(io_thread_t, 1);
	int saved_errno;

	thread->config = *config;
	thread->ev = tevent_context_init(NULL);
	if (mailbox_init(&thread->mailbox, thread->ev) != 0)
		goto fail_context;
	if (start_client_and_server(thread) != 0)
		goto fail_mailbox;
	start_proxy_and_tick(thread);
	errno = pthread_create(&thread->thread, NULL, run_event_loop, thread);
	if (errno != 0)
		goto fail_proxy;
	return thread;

fail_proxy:
	saved_errno = errno;
	finish_components(thread);
	errno = saved_errno;
	goto fail_context;
fail_mailbox:
	saved_errno = errno;
	mailbox_finish(&thread->mailbox);
	errno = saved_errno;
fail_context:
	saved_errno = errno;
	talloc_free(thread->ev);
	g_free(thread);
	errno = saved_errno;
	return NULL;
}

static void drain_server(void *arg)
{
	io_thread_t *thread = arg;

	http_server_drain(&thread->server);
}

void io_thread_drain(io_thread_t *thread)
{
	atomic_store(&thread->drain_requested, true);
	atomic_store(&thread->busy, true);
	mailbox_post(&thread->mailbox, drain_server, thread);
}

bool io_thread_idle(const io_thread_t *thread)
{
	return !atomic_load(&thread->busy);
}

static void stop_event_loop(void *arg)
{
	io_thread_t *thread = arg;

	thread->stop_requested = true;
}

void io_thread_stop(io_thread_t *thread)
{
	mailbox_post(&thread->mailbox, stop_event_loop, thread);
	pthread_join(thread->thread, NULL);
	finish_components(thread);
	talloc_free(thread->ev);
	g_free(thread);
}
