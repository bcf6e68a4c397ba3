#include "mesh/view_format.h"

#include "common/clock.h"
#include "common/json.h"

#include <errno.h>
#include <string.h>

void view_write(const struct board *board, uint32_t since, struct buf *out)
{
	struct json_object *o = json_object_new_object(), *list = json_object_new_object();
	struct json_object *missing = json_object_new_array();

	/* Removed members are not listed, so that only a whole view tells about them. */
	if (since < members_forgotten_change(board->members))
		since = 0;
	for (size_t i = 0; i < members_count(board->members); i++) {
		const struct member *m = members_at(board->members, i);

		if (!*m->node || (since && m->last_change <= since))
			continue;
		if (m->missing_us)
			json_object_array_add(missing, json_object_new_string(m->node));
		else
			json_object_object_add(list, m->node, members_entry_json(m));
	}
	json_object_object_add(o, "era", json_object_new_uint64(board->view_position.era));
	json_object_object_add(o, "revision",
			       json_object_new_uint64(board->view_position.revision));
	json_object_object_add(o, "whole", json_object_new_boolean(!since));
	json_object_object_add(o, "members", list);
	json_object_object_add(o, "missing", missing);
	buf_append_text(out, json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
}

static void read_members(struct members *ms, struct json_object *list)
{
	json_object_object_foreach(list, node, entry)
	{
		const char *text = json_object_to_json_string(entry);

		(void)members_put(ms, node, text, strlen(text));
	}
}

static void read_missing(struct members *ms, struct json_object *list)
{
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		struct json_object *node = json_object_array_get_idx(list, i);

		if (json_object_is_type(node, json_type_string))
			members_set_missing(ms, json_object_get_string(node));
	}
}

int view_read(struct members *ms, const char *bytes, size_t len, struct br_position *position)
{
	struct json_object *o = json_parse_object(bytes, len);
	struct json_object *list = o ? json_member_object(o, "members") : NULL;
	struct json_object *missing = o ? json_member_array(o, "missing") : NULL;
	uint64_t started_us = clock_now_us();
	int rc = -EINVAL;

	if (list && missing && json_member_u64(o, "revision", &position->revision)) {
		/* Nodes of earlier versions don't tell the era. */
		if (!json_member_u64(o, "era", &position->era))
			position->era = 0;
		read_members(ms, list);
		read_missing(ms, missing);
		if (json_member_bool(o, "whole"))
			members_set_missing_if_older(ms, started_us);
		rc = 0;
	}
	json_object_put(o);
	return rc;
}
