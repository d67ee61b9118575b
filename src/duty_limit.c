#include "duty_limit.h"

bool duty_limit_may_start(const duty_limit_t *limit, uint64_t now_us)
{
	return now_us >= limit->next_us;
}

void duty_limit_record(duty_limit_t *limit, uint64_t started_us, uint64_t ended_us)
{
	uint64_t rest_us = DUTY_LIMIT_REST_FACTOR * (ended_us - started_us);

	limit->next_us =
		ended_us + (rest_us < DUTY_LIMIT_REST_MAX_US ? rest_us : DUTY_LIMIT_REST_MAX_US);
}
