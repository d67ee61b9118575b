#include "cli.h"

#include <malloc.h>

/* Allocations from this size on are given back to the system when they are freed. The C library
 * would raise the size with the first such allocation that is freed, and keep the bodies of
 * requests that have ended. */
#define MMAP_THRESHOLD_BYTES (128 * 1024)

int main(int argc, char **argv)
{
	mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
	return cli_main(argc, argv);
}
