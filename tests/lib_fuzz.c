#include "lib_fuzz.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_SEED 20260101
/* Maximum nesting of generated messages; the deepest message in proto/ has 6 levels. */
#define NESTING_MAX 7
#define REPEATED_FIELD_LIMIT 4
#define MUTATIONS_MAX 4
#define RANDOM_BYTES_MAX 24

enum {
	WIRE_VARINT = 0,
	WIRE_64BIT = 1,
	WIRE_LENGTH_DELIMITED = 2,
	WIRE_32BIT = 5,
};

static uint64_t env_or_default(const char *name, uint64_t default_value)
{
	const char *text = getenv(name);

	return text != NULL && text[0] != '\0' ? strtoull(text, NULL, 0) : default_value;
}

void fuzz_init(fuzz_t *fuzz, unsigned default_rounds, const char *const *string_values,
	       size_t string_value_count)
{
	*fuzz = (fuzz_t){
		.seed = (guint32)env_or_default("LP_TEST_SEED", DEFAULT_SEED),
		.rounds = (unsigned)env_or_default("LP_TEST_ROUNDS", default_rounds),
		.string_values = string_values,
		.string_value_count = string_value_count,
	};
	fuzz->rand = g_rand_new_with_seed(fuzz->seed);
}

void fuzz_finish(fuzz_t *fuzz)
{
	g_rand_free(fuzz->rand);
}

size_t fuzz_random_below(fuzz_t *fuzz, size_t limit)
{
	return limit == 0 ? 0 : g_rand_int(fuzz->rand) % limit;
}

uint64_t fuzz_random_integer(fuzz_t *fuzz)
{
	static const uint64_t limits[] = {
		INT32_MAX,	(uint64_t)INT32_MAX + 1,
		UINT32_MAX,	(uint64_t)UINT32_MAX + 1,
		INT64_MAX,	(uint64_t)INT64_MAX + 1,
		UINT64_MAX - 1, UINT64_MAX,
		UINT16_MAX,	1U << 20,
	};

	switch (fuzz_random_below(fuzz, 8)) {
	case 0:
		return limits[fuzz_random_below(fuzz, G_N_ELEMENTS(limits))];
	case 1:
		return (uint64_t)g_rand_int(fuzz->rand) << 32 | g_rand_int(fuzz->rand);
	default:
		return fuzz_random_below(fuzz, 10);
	}
}

static void insert_bytes(GByteArray *data, size_t offset, const uint8_t *bytes, size_t count)
{
	size_t tail = data->len - offset;

	g_byte_array_set_size(data, data->len + (guint)count);
	memmove(data->data + offset + count, data->data + offset, tail);
	memcpy(data->data + offset, bytes, count);
}

static void insert_random_bytes(fuzz_t *fuzz, GByteArray *data)
{
	uint8_t bytes[RANDOM_BYTES_MAX];
	size_t count = 1 + fuzz_random_below(fuzz, RANDOM_BYTES_MAX);

	for (size_t i = 0; i < count; i++)
		bytes[i] = (uint8_t)g_rand_int(fuzz->rand);
	insert_bytes(data, fuzz_random_below(fuzz, data->len + 1), bytes, count);
}

static void repeat_bytes(fuzz_t *fuzz, GByteArray *data)
{
	size_t offset = fuzz_random_below(fuzz, data->len);
	size_t count = 1 + fuzz_random_below(fuzz, data->len - offset);
	g_autofree uint8_t *part = g_memdup2(data->data + offset, count);

	insert_bytes(data, offset, part, count);
}

static void splice_with_sample(fuzz_t *fuzz, GByteArray *data, GPtrArray *samples)
{
	const GByteArray *other = g_ptr_array_index(samples, fuzz_random_below(fuzz, samples->len));
	size_t other_offset = fuzz_random_below(fuzz, other->len);

	g_byte_array_set_size(data, (guint)fuzz_random_below(fuzz, data->len));
	g_byte_array_append(data, other->data + other_offset, other->len - (guint)other_offset);
}

/* Overwrites 2, 4 or 8 bytes with a number in a random byte order, so that it sometimes replaces a
 * length field. */
static void overwrite_integer(fuzz_t *fuzz, GByteArray *data)
{
	size_t width = (size_t)2 << fuzz_random_below(fuzz, 3);
	uint64_t value = fuzz_random_integer(fuzz);
	bool big_endian = fuzz_random_below(fuzz, 2) == 0;
	size_t offset;

	if (data->len < width)
		return;
	offset = fuzz_random_below(fuzz, data->len - width + 1);
	for (size_t i = 0; i < width; i++)
		data->data[offset + (big_endian ? width - 1 - i : i)] = (uint8_t)(value >> (8 * i));
}

static void mutate_once(fuzz_t *fuzz, GByteArray *data, GPtrArray *samples)
{
	size_t offset = fuzz_random_below(fuzz, data->len);

	if (data->len == 0) {
		insert_random_bytes(fuzz, data);
		return;
	}
	switch (fuzz_random_below(fuzz, 8)) {
	case 0:
	case 1:
		data->data[offset] ^= (uint8_t)(1U << fuzz_random_below(fuzz, 8));
		break;
	case 2:
		data->data[offset] = (uint8_t)g_rand_int(fuzz->rand);
		break;
	case 3:
		g_byte_array_set_size(data, (guint)offset);
		break;
	case 4:
		insert_random_bytes(fuzz, data);
		break;
	case 5:
		g_byte_array_remove_range(data, (guint)offset,
					  1 + (guint)fuzz_random_below(fuzz, data->len - offset));
		break;
	case 6:
		if (fuzz_random_below(fuzz, 2) == 0)
			repeat_bytes(fuzz, data);
		else
			splice_with_sample(fuzz, data, samples);
		break;
	default:
		overwrite_integer(fuzz, data);
		break;
	}
}

GByteArray *fuzz_mutate(fuzz_t *fuzz, GPtrArray *samples)
{
	const GByteArray *sample =
		g_ptr_array_index(samples, fuzz_random_below(fuzz, samples->len));
	GByteArray *data = g_byte_array_new();
	size_t count = 1 + fuzz_random_below(fuzz, MUTATIONS_MAX);

	g_byte_array_append(data, sample->data, sample->len);
	for (size_t i = 0; i < count; i++)
		mutate_once(fuzz, data, samples);
	return data;
}

static void put_varint(GByteArray *out, uint64_t value)
{
	do {
		uint8_t byte = (uint8_t)((value & 0x7f) | (value > 0x7f ? 0x80 : 0));

		g_byte_array_append(out, &byte, 1);
		value >>= 7;
	} while (value > 0);
}

static void put_tag(GByteArray *out, uint32_t id, unsigned wire_type)
{
	put_varint(out, (uint64_t)id << 3 | wire_type);
}

static void put_bytes(GByteArray *out, uint32_t id, const void *data, size_t length)
{
	put_tag(out, id, WIRE_LENGTH_DELIMITED);
	put_varint(out, length);
	g_byte_array_append(out, data, (guint)length);
}

static void put_fixed(GByteArray *out, uint32_t id, uint64_t value, size_t width)
{
	put_tag(out, id, width == 8 ? WIRE_64BIT : WIRE_32BIT);
	for (size_t i = 0; i < width; i++) {
		uint8_t byte = (uint8_t)(value >> (8 * i));

		g_byte_array_append(out, &byte, 1);
	}
}

static void pack_message(fuzz_t *fuzz, const ProtobufCMessageDescriptor *type, GByteArray *out,
			 unsigned depth);

static void pack_nested_message(fuzz_t *fuzz, const ProtobufCFieldDescriptor *field,
				GByteArray *out, unsigned depth)
{
	GByteArray *nested = g_byte_array_new();

	pack_message(fuzz, field->descriptor, nested, depth + 1);
	put_bytes(out, field->id, nested->data, nested->len);
	g_byte_array_unref(nested);
}

static void pack_random_bytes(fuzz_t *fuzz, const ProtobufCFieldDescriptor *field, GByteArray *out)
{
	uint8_t bytes[RANDOM_BYTES_MAX];
	size_t count = fuzz_random_below(fuzz, RANDOM_BYTES_MAX);

	for (size_t i = 0; i < count; i++)
		bytes[i] = (uint8_t)g_rand_int(fuzz->rand);
	put_bytes(out, field->id, bytes, count);
}

static void pack_enum_field(fuzz_t *fuzz, const ProtobufCFieldDescriptor *field, GByteArray *out)
{
	const ProtobufCEnumDescriptor *type = field->descriptor;
	uint64_t value = fuzz_random_integer(fuzz);

	/* Sometimes use an unknown value, as a later version of the protocol might send it. */
	if (fuzz_random_below(fuzz, 8) != 0)
		value = (uint64_t)type->values[fuzz_random_below(fuzz, type->n_values)].value;
	put_tag(out, field->id, WIRE_VARINT);
	put_varint(out, value);
}

static void pack_field(fuzz_t *fuzz, const ProtobufCFieldDescriptor *field, GByteArray *out,
		       unsigned depth)
{
	const char *string_value;

	switch (field->type) {
	case PROTOBUF_C_TYPE_MESSAGE:
		pack_nested_message(fuzz, field, out, depth);
		break;
	case PROTOBUF_C_TYPE_STRING:
		string_value =
			fuzz->string_values[fuzz_random_below(fuzz, fuzz->string_value_count)];
		put_bytes(out, field->id, string_value, strlen(string_value));
		break;
	case PROTOBUF_C_TYPE_BYTES:
		pack_random_bytes(fuzz, field, out);
		break;
	case PROTOBUF_C_TYPE_ENUM:
		pack_enum_field(fuzz, field, out);
		break;
	case PROTOBUF_C_TYPE_SFIXED32:
	case PROTOBUF_C_TYPE_FIXED32:
	case PROTOBUF_C_TYPE_FLOAT:
		put_fixed(out, field->id, fuzz_random_integer(fuzz), 4);
		break;
	case PROTOBUF_C_TYPE_SFIXED64:
	case PROTOBUF_C_TYPE_FIXED64:
	case PROTOBUF_C_TYPE_DOUBLE:
		put_fixed(out, field->id, fuzz_random_integer(fuzz), 8);
		break;
	case PROTOBUF_C_TYPE_INT32:
	case PROTOBUF_C_TYPE_SINT32:
	case PROTOBUF_C_TYPE_UINT32:
	case PROTOBUF_C_TYPE_INT64:
	case PROTOBUF_C_TYPE_SINT64:
	case PROTOBUF_C_TYPE_UINT64:
	case PROTOBUF_C_TYPE_BOOL:
		put_tag(out, field->id, WIRE_VARINT);
		put_varint(out, fuzz_random_integer(fuzz));
		break;
	}
}

static void pack_message(fuzz_t *fuzz, const ProtobufCMessageDescriptor *type, GByteArray *out,
			 unsigned depth)
{
	/* Generate only one field of a oneof, because the decoder keeps just the last one. */
	size_t chosen_oneof_field = fuzz_random_below(fuzz, type->n_fields);

	for (unsigned i = 0; i < type->n_fields; i++) {
		const ProtobufCFieldDescriptor *field = &type->fields[i];
		size_t count = fuzz_random_below(fuzz, 8) != 0;

		if (depth >= NESTING_MAX && field->type == PROTOBUF_C_TYPE_MESSAGE)
			continue;
		if ((field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF) != 0) {
			while ((type->fields[chosen_oneof_field].flags &
				PROTOBUF_C_FIELD_FLAG_ONEOF) == 0)
				chosen_oneof_field = fuzz_random_below(fuzz, type->n_fields);
			count = chosen_oneof_field == i;
		} else if (field->label == PROTOBUF_C_LABEL_REPEATED) {
			count = fuzz_random_below(fuzz, REPEATED_FIELD_LIMIT);
		}
		for (size_t k = 0; k < count; k++)
			pack_field(fuzz, field, out, depth);
	}
}

void fuzz_generate_packed(fuzz_t *fuzz, const ProtobufCMessageDescriptor *type, GByteArray *out)
{
	pack_message(fuzz, type, out, 0);
}

ProtobufCMessage *fuzz_generate_message(fuzz_t *fuzz, const ProtobufCMessageDescriptor *type)
{
	GByteArray *packed = g_byte_array_new();
	ProtobufCMessage *message;

	fuzz_generate_packed(fuzz, type, packed);
	message = protobuf_c_message_unpack(type, NULL, packed->len, packed->data);
	g_byte_array_unref(packed);
	return message;
}
