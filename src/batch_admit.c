#include "batch_admit.h"

#include <sys/param.h>

#include "clock.h"

/* Delay from which on submissions are refused, and delay below which they are accepted again. A
 * commit takes 25 ms, and clients wait for 3 s. */
#define REFUSE_FROM_MS 800
#define ACCEPT_BELOW_MS 300
#define RETRY_AFTER_MAX_S 5

uint32_t batch_admit_retry_after_s(uint32_t expected_ms, uint32_t job_hash)
{
	uint32_t least_s = (expected_ms + 999) / 1000;

	least_s = MIN(MAX(least_s, 1), RETRY_AFTER_MAX_S);
	return least_s + job_hash % (2 * least_s);
}

batch_admission_t batch_admit(batch_admit_t *admit, const batch_admit_input_t *input)
{
	uint64_t delay_ms = (input->lag_us + input->oldest_us) / US_PER_MS;
	batch_admission_t admission = {.accept = true, .reason = ""};

	admission.expected_ms = (uint32_t)MIN(delay_ms, UINT32_MAX / 2);
	admit->refusing = delay_ms >= (admit->refusing ? ACCEPT_BELOW_MS : REFUSE_FROM_MS);
	if (admit->refusing)
		admission.reason = "the leader is behind";
	else if (input->remaining_ms != 0 && delay_ms >= input->remaining_ms)
		admission.reason = "the client's deadline is too near";
	else
		return admission;
	admission.accept = false;
	admission.retry_after_s = batch_admit_retry_after_s(admission.expected_ms, input->job_hash);
	return admission;
}
