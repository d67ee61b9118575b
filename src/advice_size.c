#include "advice_size.h"

#include <glib.h>

static size_t cheapest_size(const advice_size_input_t *input)
{
	double refused = 1;
	double least = 0;
	size_t size = 1;

	for (size_t i = 1; i <= input->most; i++) {
		double time_us;

		refused *= 1 - input->allowed_share;
		time_us =
			((double)input->decide_us + (double)(input->per_vm_us * i)) / (1 - refused);
		if (i == 1 || time_us <= least) {
			least = time_us;
			size = i;
		}
	}
	return size;
}

size_t advice_size(const advice_size_input_t *input)
{
	double others = (double)(MAX(input->needed, 1) - 1) / input->allowed_share;
	size_t size = cheapest_size(input);

	return others >= (double)(input->most - size) ? input->most : size + (size_t)(others + 0.5);
}
