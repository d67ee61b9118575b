#include <getopt.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>

#include "lib_emulator.h"

static const char usage[] =
	"usage: emulator [OPTIONS]\n"
	"Emulates targets and the platform on loopback, until SIGTERM or SIGINT.\n"
	"  --targets N            number of targets (4)\n"
	"  --first-port P         port of the first target (20000)\n"
	"  --address-base IP      address of all listeners (127.0.0.1)\n"
	"  --organisation NAME    (barid)\n"
	"  --vm-prefix TEXT       VM ids are TEXT001, TEXT002, ... (organisation and -vm)\n"
	"  --data-centres A,B     assigned to the targets in turn (a)\n"
	"  --pools A,B            pool hints, in turn within a data centre (backoffice)\n"
	"  --rack-size N          targets per rack (4)\n"
	"  --entries DC=IP:P,...  entry processes of a data centre; repeat for each\n"
	"  --platform-port P      platform API (none)\n"
	"  --control-port P       GET /state, POST /behaviour, POST /platform (none)\n"
	"  --service-ms N         service time (20)\n"
	"  --reboot-ms N          (2000)\n"
	"  --announce-ms N        (1000)\n"
	"  --image NAME           (base)\n"
	"  --token TEXT           bearer token of announcements (none)\n"
	"  --journal FILE         one JSON line when a request starts to run, ends or is lost\n"
	"  --cores N --mem-mib N --accelerators N --slots N --connections N  (64 262144 0 8 64)\n"
	"  --threads N            HTTP threads (2)\n";

/* Return value of getopt_long() for the first option. Greater than any character, to differ from
 * '?', which getopt_long() returns on errors. */
enum {
	FIRST_OPTION_VALUE = 256
};

/* Names of the options with a number, in the order of the fields in set_number_option(). */
static const char *const number_options[] = {
	"targets",	"first-port", "rack-size",   "platform-port", "control-port",
	"service-ms",	"reboot-ms",  "announce-ms", "cores",	      "mem-mib",
	"accelerators", "slots",      "connections", "threads",
};
/* Names of the options with a text, in the order of the cases in set_string_option(). */
static const char *const string_options[] = {
	"address-base", "organisation", "vm-prefix", "data-centres", "pools",
	"entries",	"image",	"journal",   "token",
};
#define NUMBER_OPTIONS G_N_ELEMENTS(number_options)
#define STRING_OPTIONS G_N_ELEMENTS(string_options)

/* Adds the entry processes of one data centre.
 * @param text "DC=IP:PORT,..."
 * @return false if text is malformed */
static bool add_entries(emulator_options_t *options, const char *text)
{
	const char *equals = strchr(text, '=');

	if (equals == NULL)
		return false;
	g_hash_table_insert(options->entries, g_strndup(text, (gsize)(equals - text)),
			    g_strsplit(equals + 1, ",", 0));
	return true;
}

static bool set_string_option(emulator_options_t *options, size_t index, const char *value)
{
	switch (index) {
	case 0:
		options->address = value;
		return true;
	case 1:
		options->organisation = value;
		return true;
	case 2:
		options->vm_prefix = value;
		return true;
	case 3:
		options->data_centres = g_strsplit(value, ",", 0);
		return options->data_centres[0] != NULL;
	case 4:
		options->pools = g_strsplit(value, ",", 0);
		return options->pools[0] != NULL;
	case 5:
		return add_entries(options, value);
	case 6:
		options->image = value;
		return true;
	case 7:
		options->journal_path = value;
		return true;
	default:
		options->token = value;
		return true;
	}
}

static bool set_number_option(emulator_options_t *options, size_t index, const char *text)
{
	unsigned *const fields[NUMBER_OPTIONS] = {
		&options->target_count,
		&options->first_port,
		&options->rack_size,
		&options->platform_port,
		&options->control_port,
		&options->service_time_ms,
		&options->reboot_duration_ms,
		&options->announce_interval_ms,
		&options->cores,
		&options->mem_mib,
		&options->accelerators,
		&options->slots,
		&options->max_connections,
		&options->http_threads,
	};
	guint64 value;

	if (!g_ascii_string_to_unsigned(text, 10, 0, 1 << 24, &value, NULL))
		return false;
	*fields[index] = (unsigned)value;
	return true;
}

static bool parse_options(emulator_options_t *options, int argc, char **argv)
{
	struct option long_options[NUMBER_OPTIONS + STRING_OPTIONS + 1] = {0};
	int option_value;

	for (size_t i = 0; i < NUMBER_OPTIONS + STRING_OPTIONS; i++)
		long_options[i] = (struct option){
			.name = i < NUMBER_OPTIONS ? number_options[i]
						   : string_options[i - NUMBER_OPTIONS],
			.has_arg = required_argument,
			.val = FIRST_OPTION_VALUE + (int)i,
		};
	while ((option_value = getopt_long(argc, argv, "", long_options, NULL)) != -1) {
		size_t index = (size_t)(option_value - FIRST_OPTION_VALUE);

		if (option_value < FIRST_OPTION_VALUE)
			return false;
		if (index < NUMBER_OPTIONS
			    ? !set_number_option(options, index, optarg)
			    : !set_string_option(options, index - NUMBER_OPTIONS, optarg)) {
			(void)fprintf(stderr, "invalid value for --%s: %s\n",
				      long_options[index].name, optarg);
			return false;
		}
	}
	return optind == argc && options->target_count > 0 && options->rack_size > 0 &&
	       options->announce_interval_ms > 0 &&
	       options->first_port + options->target_count <= 65536;
}

static emulator_options_t default_options(void)
{
	return (emulator_options_t){
		.target_count = 4,
		.first_port = 20000,
		.address = "127.0.0.1",
		.organisation = "barid",
		.data_centres = g_strsplit("a", ",", 0),
		.pools = g_strsplit("backoffice", ",", 0),
		.rack_size = 4,
		.entries = g_hash_table_new(g_str_hash, g_str_equal),
		.service_time_ms = 20,
		.reboot_duration_ms = 2000,
		.announce_interval_ms = 1000,
		.cores = 64,
		.mem_mib = 262144,
		.slots = 8,
		.max_connections = 64,
		.http_threads = 2,
		.image = "base",
	};
}

int main(int argc, char **argv)
{
	static emulator_t emu;
	emulator_options_t options = default_options();
	void *(*const thread_functions[])(void *) = {announce_thread, accept_thread, timer_thread};
	sigset_t signals;
	int signal_number;

	if (!parse_options(&options, argc, argv)) {
		(void)fputs(usage, stderr);
		return 2;
	}
	if (options.vm_prefix == NULL)
		options.vm_prefix = g_strdup_printf("%s-vm", options.organisation);
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	(void)signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (emulator_init(&emu, &options) != 0 || emulator_start_http(&emu) != 0)
		return 1;
	for (size_t i = 0; i < G_N_ELEMENTS(thread_functions); i++) {
		pthread_t thread;

		if (pthread_create(&thread, NULL, thread_functions[i], &emu) != 0)
			return 1;
	}
	(void)printf("ready\n");
	(void)fflush(stdout);
	(void)sigwait(&signals, &signal_number);
	/* The process exits without waiting for suspended requests. */
	pthread_mutex_lock(&emu.lock);
	if (emu.journal != NULL)
		(void)fflush(emu.journal);
	_exit(0);
}
