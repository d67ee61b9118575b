#include "lib_batch.h"

Lp__ResultCode batch_test_apply(batch_state_t *state, uint64_t wall_ms, Lp__BatchCommand *command)
{
	Lp__Result result = LP__RESULT__INIT;

	batch_state_apply(state, wall_ms, command, &result);
	return result.code;
}

Lp__ResultCode batch_test_configure(batch_state_t *state, uint64_t wall_ms, uint64_t version,
				    Lp__BatchQueue *queue)
{
	Lp__BatchService service = LP__BATCH_SERVICE__INIT;
	Lp__BatchService *services[] = {&service};
	Lp__BatchQueue *queues[] = {queue};
	Lp__BatchConfig config = LP__BATCH_CONFIG__INIT;
	Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;

	service.name = (char *)"s";
	config.version = version;
	config.services = services;
	config.n_services = 1;
	config.queues = queues;
	if (queue != NULL) {
		queue->host = (char *)"h";
		queue->prefix = (char *)"/q/";
		queue->service = (char *)"s";
		config.n_queues = 1;
	}
	command.body_case = LP__BATCH_COMMAND__BODY_CONFIG;
	command.config = &config;
	return batch_test_apply(state, wall_ms, &command);
}

Lp__ResultCode batch_test_submit(batch_state_t *state, uint64_t wall_ms, const char *id,
				 Lp__BatchStep *step)
{
	return batch_test_submit_for(state, wall_ms, id, "", step);
}

Lp__ResultCode batch_test_submit_for(batch_state_t *state, uint64_t wall_ms, const char *id,
				     const char *organisation, Lp__BatchStep *step)
{
	Lp__BatchStep *steps[] = {step};
	Lp__BatchJob job = LP__BATCH_JOB__INIT;
	Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;

	job.id = (char *)id;
	job.host = (char *)"h";
	job.prefix = (char *)"/q/";
	job.organisation = (char *)organisation;
	job.steps = steps;
	job.n_steps = 1;
	command.body_case = LP__BATCH_COMMAND__BODY_SUBMIT;
	command.submit = &job;
	return batch_test_apply(state, wall_ms, &command);
}
