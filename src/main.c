#include "cli.h"

#include <malloc.h>

/* Allocations from this size on are given back to the system when they are freed. The C library
 * would raise the size with the first such allocation that is freed, and keep the bodies of
 * requests that have ended. */
#define MMAP_THRESHOLD_BYTES (128 * 1024)

#ifdef ASAN_DEFAULT_OPTIONS
/* Options of the asan-static variant. The processes of a play have no environment of their own, end
 * by a signal, and have the memory limits of small machines. */
const char *__asan_default_options(void);

const char *__asan_default_options(void)
{
	return "detect_leaks=0:verify_asan_link_order=0:quarantine_size_mb=24:"
	       "malloc_context_size=14";
}
#endif

int main(int argc, char **argv)
{
	mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
	return cli_main(argc, argv);
}
