#include "mesh/left_format.h"

#include "common/json.h"
#include "mesh/event_log.h"

#include <string.h>

struct json_object *left_write(const struct br_left_list *l)
{
	struct json_object *list = json_object_new_array();

	for (uint32_t i = 0; i < l->n; i++) {
		struct json_object *entry = json_object_new_object();

		json_object_object_add(entry, "id", json_object_new_string(l->entries[i].id));
		json_object_object_add(entry, "started_until_ms",
				       json_object_new_uint64(l->entries[i].started_until_ms));
		json_object_array_add(list, entry);
	}
	return list;
}

static void read_entry(struct json_object *o, struct br_left_list *out)
{
	const char *id = json_member_text(o, "id");
	uint64_t until_ms;

	if (id && strlen(id) < BR_NAME_BYTES && json_member_u64(o, "started_until_ms", &until_ms))
		br_left_add(out, id, until_ms);
	else
		EVENT(EVENT_WARNING, "left", "entry_unreadable", EVENT_TEXT("id", id ? id : ""));
}

void left_read(struct json_object *list, struct br_left_list *out)
{
	for (size_t i = 0; i < json_object_array_length(list); i++)
		read_entry(json_object_array_get_idx(list, i), out);
}
