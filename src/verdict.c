#include "verdict.h"

#include <string.h>

const char *verdict_name(verdict_t verdict)
{
	switch (verdict) {
	case VERDICT_NOT_RUN:
		return "not-run";
	case VERDICT_UNKNOWN:
		return "unknown";
	case VERDICT_RAN:
		return "ran";
	}
	return "unknown";
}

int verdict_parse(const char *word, verdict_t *verdict)
{
	for (verdict_t v = VERDICT_NOT_RUN; v <= VERDICT_RAN; v++) {
		if (strcmp(word, verdict_name(v)) == 0) {
			*verdict = v;
			return 0;
		}
	}
	return -1;
}
